package org.skylarkbend.usage;

import java.time.LocalDate;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;
import org.skylarkbend.usage.UsageSnapshot.DayTokens;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;

/**
 * Forecasts of the spend of all customers of a set in the next month.
 *
 * @param month the forecast month
 * @param customers the forecast of each customer
 * @param notes the days that were excluded, and why
 */
public record UsageForecast(YearMonth month, List<CustomerForecast> customers, List<String> notes) {
    /** A one-sentence description of the method for readers of the forecast. */
    public static final String METHOD =
            "mean of the observed full days, by weekday from two weeks on; the range is a 90 %"
                + " prediction interval if usage continues as observed; prices of the set in force";

    /** Copies the lists of customers and notes. */
    public UsageForecast {
        customers = List.copyOf(customers);
        notes = List.copyOf(notes);
    }

    /** The forecast of one customer, empty if too few days were observed. */
    public record CustomerForecast(
            Customer customer, Rate rate, Optional<SpendForecast> forecast) {}

    /** Forecasts the spend in the month after the current one. */
    public static UsageForecast of(UsageSnapshot usage, PublishedSet set, LocalDate today) {
        Set<LocalDate> reported = reportedDays(usage, today);
        Set<LocalDate> incomplete =
                usage.gaps().stream()
                        .map(UsageGap::epochDay)
                        .map(LocalDate::ofEpochDay)
                        .collect(Collectors.toCollection(TreeSet::new));
        Set<LocalDate> observed = new TreeSet<>(reported);
        observed.removeAll(incomplete);
        YearMonth next = YearMonth.from(today).plusMonths(1);
        List<LocalDate> coming = next.atDay(1).datesUntil(next.plusMonths(1).atDay(1)).toList();
        List<CustomerForecast> customers = new ArrayList<>();
        for (Customer customer : set.customers().values()) {
            Rate rate = set.rates().get(customer.rate());
            SortedMap<LocalDate, Double> days = spendByDay(usage, customer.name(), rate, observed);
            customers.add(new CustomerForecast(customer, rate, SpendForecast.of(days, coming)));
        }
        return new UsageForecast(next, customers, notes(reported, incomplete, today));
    }

    /** Returns the full days with usage of any customer. On other days the data may be missing. */
    private static Set<LocalDate> reportedDays(UsageSnapshot usage, LocalDate today) {
        return usage.days().stream()
                .map(DayTokens::epochDay)
                .map(LocalDate::ofEpochDay)
                .filter(day -> day.isBefore(today))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static SortedMap<LocalDate, Double> spendByDay(
            UsageSnapshot usage, ObjectName customer, Rate rate, Set<LocalDate> observed) {
        SortedMap<LocalDate, Double> spend = new TreeMap<>();
        observed.forEach(day -> spend.put(day, 0.0));
        for (DayTokens day : usage.days()) {
            LocalDate date = LocalDate.ofEpochDay(day.epochDay());
            if (day.customer().equals(customer) && observed.contains(date)) {
                spend.put(date, Spend.of(day.tokens(), rate));
            }
        }
        return spend;
    }

    private static List<String> notes(
            Set<LocalDate> reported, Set<LocalDate> incomplete, LocalDate today) {
        List<String> notes = new ArrayList<>();
        incomplete.forEach(
                day ->
                        notes.add(
                                day
                                        + " is excluded: a router was replaced before its last"
                                        + " report"));
        if (!reported.isEmpty()) {
            LocalDate first = new TreeSet<>(reported).first();
            List<LocalDate> unreported =
                    first.datesUntil(today).filter(day -> !reported.contains(day)).toList();
            unreported.forEach(day -> notes.add(day + " is excluded: no usage was reported"));
        }
        return notes;
    }
}
