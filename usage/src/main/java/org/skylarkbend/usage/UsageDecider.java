package org.skylarkbend.usage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.usage.UsageMessage.Acknowledged;
import org.skylarkbend.usage.UsageMessage.Report;
import org.skylarkbend.usage.UsageSnapshot.DayTokens;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageSnapshot.RouterProgress;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;

/**
 * Counts settled tokens exactly once, from committed reports in log order.
 *
 * <p>A report is counted only if its sequence number directly follows the last counted one of the
 * same router incarnation. A duplicate is acknowledged and not counted. A report after a gap is
 * acknowledged with the last counted sequence number, so that the router sends the missing reports.
 *
 * <p>Monthly totals are kept for {@value #KEPT_MONTHS} months, daily totals for {@value #KEPT_DAYS}
 * days. Not thread-safe: the tables are confined to the task that applies the log.
 */
public final class UsageDecider {
    /** The number of months for which monthly totals are kept. */
    public static final int KEPT_MONTHS = 14;

    /** The number of days for which daily totals are kept. */
    public static final int KEPT_DAYS = 100;

    /**
     * The maximum age of a usage line. Older lines, such as those of a router that was disconnected
     * for longer, are counted for the current day.
     */
    static final int MAX_AGE_DAYS = 35;

    private final Map<Long, Map<UsageSubject, UsageTokens>> mMonths = new TreeMap<>();
    private final Map<Long, Map<ObjectName, UsageTokens>> mDays = new TreeMap<>();
    private final Map<Incarnation, RouterProgress> mRouters = new TreeMap<>();
    private final List<UsageGap> mGaps = new ArrayList<>();

    /** Creates a decider with the state of a snapshot. */
    public UsageDecider(UsageSnapshot snapshot) {
        snapshot.months().forEach(m -> monthOf(m.month()).put(m.subject(), m.tokens()));
        snapshot.days().forEach(d -> dayOf(d.epochDay()).put(d.customer(), d.tokens()));
        snapshot.routers()
                .forEach(r -> mRouters.put(new Incarnation(r.router(), r.incarnation()), r));
        mGaps.addAll(snapshot.gaps());
    }

    /** Applies a committed report and returns the acknowledgement for the router. */
    public Acknowledged apply(Report report, long todayEpochDay) {
        Incarnation incarnation = new Incarnation(report.router(), report.incarnation());
        RouterProgress known = mRouters.get(incarnation);
        long counted = known == null ? 0 : known.sequence();
        if (report.sequence() != counted + 1) {
            return new Acknowledged(report.incarnation(), counted);
        }
        if (known == null) {
            recordGaps(incarnation, todayEpochDay);
        }
        report.lines().forEach(line -> count(line, todayEpochDay));
        mRouters.put(
                incarnation,
                new RouterProgress(
                        report.router(),
                        report.incarnation(),
                        report.sequence(),
                        report.isLast(),
                        todayEpochDay));
        removeExpired(todayEpochDay);
        return new Acknowledged(report.incarnation(), report.sequence());
    }

    /** Returns a snapshot of the current state. */
    public UsageSnapshot snapshot() {
        List<MonthTokens> months = new ArrayList<>();
        mMonths.forEach(
                (month, bySubject) ->
                        bySubject.forEach((s, t) -> months.add(new MonthTokens(month, s, t))));
        List<DayTokens> days = new ArrayList<>();
        mDays.forEach(
                (day, byCustomer) ->
                        byCustomer.forEach((c, t) -> days.add(new DayTokens(day, c, t))));
        return new UsageSnapshot(months, days, List.copyOf(mRouters.values()), mGaps);
    }

    /** Returns the total tokens of a customer in a month. */
    public UsageTokens tokensOf(ObjectName customer, long month) {
        return monthOf(month).entrySet().stream()
                .filter(entry -> entry.getKey().customer().equals(customer))
                .map(Map.Entry::getValue)
                .reduce(UsageTokens.NONE, UsageTokens::plus);
    }

    /**
     * Counts a line. An implausible day is replaced by the current day, so that no token is lost.
     */
    private void count(UsageLine line, long todayEpochDay) {
        boolean plausible =
                line.epochDay() <= todayEpochDay + 1
                        && line.epochDay() >= todayEpochDay - MAX_AGE_DAYS;
        long day = plausible ? line.epochDay() : todayEpochDay;
        monthOf(MonthNumbers.ofEpochDay(day))
                .merge(line.subject(), line.tokens(), UsageTokens::plus);
        dayOf(day).merge(line.subject().customer(), line.tokens(), UsageTokens::plus);
    }

    private void recordGaps(Incarnation appeared, long todayEpochDay) {
        for (RouterProgress other : List.copyOf(mRouters.values())) {
            boolean gap = other.router().equals(appeared.router()) && !other.ended();
            boolean recorded =
                    mGaps.stream()
                            .anyMatch(
                                    g ->
                                            g.router().equals(other.router())
                                                    && g.incarnation() == other.incarnation());
            if (gap && !recorded) {
                mGaps.add(new UsageGap(other.router(), other.incarnation(), todayEpochDay));
            }
        }
    }

    private void removeExpired(long todayEpochDay) {
        long firstMonth = MonthNumbers.ofEpochDay(todayEpochDay) - KEPT_MONTHS;
        mMonths.keySet().removeIf(month -> month < firstMonth);
        long firstDay = todayEpochDay - KEPT_DAYS;
        mDays.keySet().removeIf(day -> day < firstDay);
        mRouters.values().removeIf(router -> router.epochDay() < firstDay);
        mGaps.removeIf(gap -> gap.epochDay() < firstDay);
    }

    private Map<UsageSubject, UsageTokens> monthOf(long month) {
        return mMonths.computeIfAbsent(month, m -> new TreeMap<>());
    }

    private Map<ObjectName, UsageTokens> dayOf(long epochDay) {
        return mDays.computeIfAbsent(epochDay, d -> new TreeMap<>());
    }

    /** One incarnation of a router, identified by its number. */
    private record Incarnation(ObjectName router, long number) implements Comparable<Incarnation> {
        private static final Comparator<Incarnation> ORDER =
                Comparator.comparing(Incarnation::router).thenComparing(Incarnation::number);

        @Override
        public int compareTo(Incarnation other) {
            return ORDER.compare(this, other);
        }
    }
}
