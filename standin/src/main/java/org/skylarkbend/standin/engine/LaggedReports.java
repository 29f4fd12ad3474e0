package org.skylarkbend.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Delays load reports so that readers get an old one. */
final class LaggedReports {
    /** A report and the time when it was current. */
    private record Snapshot(long atMilliseconds, LoadReport report) {}

    private final long mLagMilliseconds;
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    LaggedReports(long lagMilliseconds) {
        mLagMilliseconds = lagMilliseconds;
    }

    void record(long nowMilliseconds, LoadReport report) {
        if (!mSnapshots.isEmpty() && mSnapshots.peekLast().atMilliseconds() == nowMilliseconds) {
            mSnapshots.removeLast();
        }
        mSnapshots.add(new Snapshot(nowMilliseconds, report));
        trim(nowMilliseconds);
    }

    /**
     * Returns the newest report that is at least as old as the lag, or the oldest one if there is
     * none.
     */
    LoadReport at(long nowMilliseconds) {
        trim(nowMilliseconds);
        return mSnapshots.peekFirst().report();
    }

    private void trim(long nowMilliseconds) {
        long visibleMilliseconds = nowMilliseconds - mLagMilliseconds;
        while (mSnapshots.size() > 1) {
            Snapshot first = mSnapshots.removeFirst();
            if (mSnapshots.peekFirst().atMilliseconds() > visibleMilliseconds) {
                mSnapshots.addFirst(first);
                return;
            }
        }
    }
}
