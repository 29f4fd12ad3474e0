package org.skylarkbend.ctl;

/** A subcommand with its parsed options. */
public interface CtlCommand {
    /** Runs the command and returns the exit code of the process. */
    ExitCode run(CtlEnvironment environment);
}
