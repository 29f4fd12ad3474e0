package org.skylarkbend.agreement;

import java.io.IOException;

/** An operation on files. */
@FunctionalInterface
interface DiskOperation {
    void run() throws IOException;
}
