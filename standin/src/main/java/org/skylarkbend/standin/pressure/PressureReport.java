package org.skylarkbend.standin.pressure;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts how the requests of each kind of caller ended. Confined to one task. */
public final class PressureReport {
    private static final int MIN_ERROR_STATUS = 400;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final double PERCENT = 100.0;

    private final Map<String, Counts> mCounts = new TreeMap<>();

    /** The counts of one kind of caller. */
    private static final class Counts {
        private long mServed;
        private long mRefused;
        private long mFailed;

        private long total() {
            return mServed + mRefused + mFailed;
        }
    }

    /** Counts a response. */
    void answered(String kind, int status) {
        Counts counts = countsOf(kind);
        if (status < MIN_ERROR_STATUS) {
            counts.mServed++;
        } else if (status == TOO_MANY_REQUESTS
                || status == CONTENT_TOO_LARGE
                || status == UNAVAILABLE) {
            counts.mRefused++;
        } else {
            counts.mFailed++;
        }
    }

    /** Counts a request without a complete response. */
    void failed(String kind) {
        countsOf(kind).mFailed++;
    }

    /** Returns the counts as a table. */
    public String table(int seconds, String peakMemory) {
        StringBuilder table = new StringBuilder();
        table.append("callers      served/s   served  refused   failed  refused share\n");
        mCounts.forEach(
                (kind, counts) ->
                        table.append(
                                String.format(
                                        Locale.ROOT,
                                        "%-10s %10.1f %8d %8d %8d %13.1f%%%n",
                                        kind,
                                        (double) counts.mServed / seconds,
                                        counts.mServed,
                                        counts.mRefused,
                                        counts.mFailed,
                                        PERCENT * counts.mRefused / Math.max(1, counts.total()))));
        return table + "peak memory: " + peakMemory + "\n";
    }

    /** Returns the number of served requests of a kind. */
    public long served(String kind) {
        return countsOf(kind).mServed;
    }

    /** Returns the number of refused requests of a kind. */
    public long refused(String kind) {
        return countsOf(kind).mRefused;
    }

    private Counts countsOf(String kind) {
        return mCounts.computeIfAbsent(kind, name -> new Counts());
    }
}
