package org.skylarkbend.base;

/** How many log lines a process writes each second, so that a flood of calls cannot slow it. */
final class LineBudget {
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final int mLinesPerSecond;
    private long mWindowMilliseconds = Long.MIN_VALUE / 2;
    private int mLines;
    private long mDropped;

    LineBudget(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /** Takes a line. Answers whether it may be written. */
    synchronized boolean take(long nowMilliseconds) {
        if (nowMilliseconds - mWindowMilliseconds >= WINDOW_MILLISECONDS) {
            mWindowMilliseconds = nowMilliseconds;
            mLines = 0;
        }
        if (mLines >= mLinesPerSecond) {
            mDropped++;
            return false;
        }
        mLines++;
        return true;
    }

    /** How many lines were dropped since the last question. */
    synchronized long takeDropped() {
        long dropped = mDropped;
        mDropped = 0;
        return dropped;
    }
}
