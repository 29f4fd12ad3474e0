package org.skylarkbend.ctl;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Optional;

/** Reads the set file of a command. */
final class SetFile {
    private SetFile() {}

    /** Returns the text of the file, or prints an error and returns empty if it cannot be read. */
    static Optional<String> read(File file, CtlEnvironment environment) {
        try {
            return Optional.of(Files.readString(file.toPath()));
        } catch (IOException e) {
            environment.err().println("skylarkctl: cannot read " + file + ": " + e);
            return Optional.empty();
        }
    }
}
