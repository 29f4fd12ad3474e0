package org.skylarkbend.base;

/** Limits the log lines per second, so that logging cannot slow the process under high load. */
final class LogRateLimiter {
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final int mLinesPerSecond;
    private long mWindowStartMilliseconds = Long.MIN_VALUE / 2;
    private int mLinesInWindow;
    private long mDroppedLines;

    LogRateLimiter(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /** Counts a line and returns whether it may be written. */
    synchronized boolean tryAcquire(long nowMilliseconds) {
        if (nowMilliseconds - mWindowStartMilliseconds >= WINDOW_MILLISECONDS) {
            mWindowStartMilliseconds = nowMilliseconds;
            mLinesInWindow = 0;
        }
        if (mLinesInWindow >= mLinesPerSecond) {
            mDroppedLines++;
            return false;
        }
        mLinesInWindow++;
        return true;
    }

    /** Returns the number of lines dropped since the previous call, and resets it. */
    synchronized long takeDropped() {
        long dropped = mDroppedLines;
        mDroppedLines = 0;
        return dropped;
    }
}
