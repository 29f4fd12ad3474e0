package org.skylarkbend.replay;

import java.io.PrintStream;

/** A subcommand. Its options are set by args4j. */
@FunctionalInterface
interface ReplayCommand {
    /** Runs the subcommand and returns the exit code of the process. */
    int run(PrintStream out, PrintStream err);
}
