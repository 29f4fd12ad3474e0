package org.skylarkbend.ctl;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.function.Function;
import org.skylarkbend.base.MillisecondClock;

/**
 * External resources of a command. Tests replace them.
 *
 * @param in standard input
 * @param out stream for results
 * @param err stream for errors and progress
 * @param variables environment variables
 * @param connect creates the transport to control
 * @param wallClock wall clock
 * @param pause sleeps between polls and retries
 */
public record CtlEnvironment(
        InputStream in,
        PrintStream out,
        PrintStream err,
        Map<String, String> variables,
        Function<OperatorSettings, ControlTransport> connect,
        MillisecondClock wallClock,
        Pause pause) {
    /** Copies the variables. */
    public CtlEnvironment {
        variables = Map.copyOf(variables);
    }

    /** Blocks the calling thread for a time. */
    @FunctionalInterface
    public interface Pause {
        /** Returns after the given time. */
        void forMilliseconds(long milliseconds);
    }
}
