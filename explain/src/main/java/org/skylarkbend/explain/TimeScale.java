package org.skylarkbend.explain;

import java.util.OptionalLong;
import java.util.function.Function;

/** The clock by which the lines of a story are ordered. */
public enum TimeScale {
    /** The simulated time that the bench writes in front of a line, one clock for all machines. */
    SIMULATED(LogTime::simulatedMicroseconds),
    /** The time that the process wrote itself, by the clock of its machine. */
    WALL(LogTime::wallMicroseconds);

    private final Function<LogTime, OptionalLong> mTime;

    TimeScale(Function<LogTime, OptionalLong> time) {
        mTime = time;
    }

    /** Returns the time of a line on this scale, or empty if the line does not have it. */
    public OptionalLong microsecondsOf(Origin origin) {
        return mTime.apply(origin.time());
    }
}
