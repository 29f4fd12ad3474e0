package org.skylarkbend.standin.load;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Latency percentiles of a run in microseconds: direct, through the router, and the difference. */
public final class LatencyReport {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENT = 50;
    private static final double TAIL_PERCENT = 99;

    private final Histogram mDirectFirst = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mDirectEnd = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mRoutedFirst = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mRoutedEnd = new Histogram(SIGNIFICANT_DIGITS);

    void add(Timing.Pair pair) {
        mDirectFirst.recordValue(pair.direct().firstByteMicroseconds());
        mDirectEnd.recordValue(pair.direct().endMicroseconds());
        mRoutedFirst.recordValue(pair.routed().firstByteMicroseconds());
        mRoutedEnd.recordValue(pair.routed().endMicroseconds());
    }

    /** Returns the report as a text table. */
    public String table() {
        return "microseconds          direct   routed    added\n"
                + tableRow("first byte, median", mDirectFirst, mRoutedFirst, MEDIAN_PERCENT)
                + tableRow("first byte, p99", mDirectFirst, mRoutedFirst, TAIL_PERCENT)
                + tableRow("whole, median", mDirectEnd, mRoutedEnd, MEDIAN_PERCENT)
                + tableRow("whole, p99", mDirectEnd, mRoutedEnd, TAIL_PERCENT)
                + "pairs: "
                + mDirectEnd.getTotalCount()
                + "\n";
    }

    private static String tableRow(
            String name, Histogram direct, Histogram routed, double percent) {
        long directMicroseconds = direct.getValueAtPercentile(percent);
        long routedMicroseconds = routed.getValueAtPercentile(percent);
        return String.format(
                Locale.ROOT,
                "%-18s %9d %8d %8d%n",
                name,
                directMicroseconds,
                routedMicroseconds,
                routedMicroseconds - directMicroseconds);
    }
}
