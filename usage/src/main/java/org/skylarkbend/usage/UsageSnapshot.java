package org.skylarkbend.usage;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * The usage state of the control process at one index of the log.
 *
 * @param months the tokens of each month by customer, key and route
 * @param days the tokens of each day by customer
 * @param routers the reporting progress of each router incarnation
 * @param gaps the router incarnations whose last tokens may be missing
 */
public record UsageSnapshot(
        List<MonthTokens> months,
        List<DayTokens> days,
        List<RouterProgress> routers,
        List<UsageGap> gaps) {
    /** Copies the lists. */
    public UsageSnapshot {
        months = List.copyOf(months);
        days = List.copyOf(days);
        routers = List.copyOf(routers);
        gaps = List.copyOf(gaps);
    }

    /** Returns a snapshot without usage. */
    public static UsageSnapshot empty() {
        return new UsageSnapshot(List.of(), List.of(), List.of(), List.of());
    }

    /** The tokens of a subject in a month. */
    public record MonthTokens(long month, UsageSubject subject, UsageTokens tokens) {}

    /** The tokens of a customer on a day. */
    public record DayTokens(long epochDay, ObjectName customer, UsageTokens tokens) {}

    /**
     * The reporting progress of one router incarnation.
     *
     * @param sequence the sequence number of its last counted report
     * @param ended true if the router has sent its last report
     * @param epochDay the day of its last report, in days since 1970-01-01
     */
    public record RouterProgress(
            ObjectName router, long incarnation, long sequence, boolean ended, long epochDay) {}

    /**
     * A router incarnation that was succeeded by another before it sent its last report.
     *
     * @param epochDay the day of the first report of the next incarnation
     */
    public record UsageGap(ObjectName router, long incarnation, long epochDay) {}
}
