package org.skylarkbend.base;

/**
 * Provides the current time in milliseconds.
 *
 * <p>Deciders never read a clock: the task that runs them passes the time as an argument.
 */
@FunctionalInterface
public interface MillisecondClock {
    /** Returns the current time. */
    long nowMilliseconds();

    /** Returns the wall clock, which may jump. Use it only for times shown to people. */
    static MillisecondClock wall() {
        return System::currentTimeMillis;
    }

    /** Returns a clock that never goes back, with an arbitrary origin specific to this process. */
    static MillisecondClock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
