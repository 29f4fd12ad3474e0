package org.skylarkbend.usage;

import java.time.LocalDate;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;
import org.skylarkbend.usage.UsageSnapshot.DayTokens;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;

/**
 * Statement of the spend of customers in a month, at the prices of the set in force.
 *
 * @param month the month in UTC
 * @param customers the customers of the set, and other customers with usage in the month
 * @param notes missing data and usage without a price
 */
public record UsageStatement(
        YearMonth month, List<CustomerStatement> customers, List<String> notes) {
    /** Copies the lists of customers and notes. */
    public UsageStatement {
        customers = List.copyOf(customers);
        notes = List.copyOf(notes);
    }

    /**
     * The statement of one customer.
     *
     * @param price its rate and grant; empty if the customer is not in the set in force
     * @param tokens its total tokens in the month
     * @param lines its tokens by key and route
     * @param tokensByDay its tokens by day
     */
    public record CustomerStatement(
            ObjectName customer,
            Optional<PricedCustomer> price,
            UsageTokens tokens,
            List<MonthTokens> lines,
            SortedMap<LocalDate, UsageTokens> tokensByDay) {
        /** Returns the price of the tokens, or empty if the customer has no rate. */
        public Optional<Double> spend() {
            return price.map(priced -> Spend.of(tokens, priced.rate()));
        }
    }

    /** A customer of the set and its rate. */
    public record PricedCustomer(Customer customer, Rate rate) {}

    /** Creates the statement of a month. */
    public static UsageStatement of(UsageSnapshot usage, PublishedSet set, YearMonth month) {
        TreeMap<ObjectName, List<MonthTokens>> lines = new TreeMap<>();
        set.customers().keySet().forEach(name -> lines.put(name, new ArrayList<>()));
        usage.months().stream()
                .filter(line -> line.month() == MonthNumbers.numberOf(month))
                .forEach(
                        line ->
                                lines.computeIfAbsent(
                                                line.subject().customer(), c -> new ArrayList<>())
                                        .add(line));
        List<CustomerStatement> customers = new ArrayList<>();
        lines.forEach(
                (name, customerLines) ->
                        customers.add(customer(usage, set, month, name, customerLines)));
        return new UsageStatement(month, customers, notes(usage, customers, month));
    }

    private static CustomerStatement customer(
            UsageSnapshot usage,
            PublishedSet set,
            YearMonth month,
            ObjectName name,
            List<MonthTokens> lines) {
        Optional<PricedCustomer> price =
                Optional.ofNullable(set.customers().get(name))
                        .map(c -> new PricedCustomer(c, set.rates().get(c.rate())));
        UsageTokens total =
                lines.stream().map(MonthTokens::tokens).reduce(UsageTokens.NONE, UsageTokens::plus);
        SortedMap<LocalDate, UsageTokens> days = new TreeMap<>();
        for (DayTokens day : usage.days()) {
            LocalDate date = LocalDate.ofEpochDay(day.epochDay());
            if (day.customer().equals(name) && YearMonth.from(date).equals(month)) {
                days.put(date, day.tokens());
            }
        }
        return new CustomerStatement(name, price, total, List.copyOf(lines), days);
    }

    private static List<String> notes(
            UsageSnapshot usage, List<CustomerStatement> customers, YearMonth month) {
        List<String> notes = new ArrayList<>();
        for (CustomerStatement customer : customers) {
            if (customer.price().isEmpty()) {
                notes.add(
                        "customer "
                                + customer.customer()
                                + " is not in the set in force and has no price");
            }
        }
        for (UsageGap gap : usage.gaps()) {
            LocalDate day = LocalDate.ofEpochDay(gap.epochDay());
            if (YearMonth.from(day).equals(month)) {
                notes.add(
                        "router "
                                + gap.router()
                                + " was replaced on "
                                + day
                                + " before its last report: its last seconds of usage may be"
                                + " missing");
            }
        }
        if (customers.stream().allMatch(c -> c.lines().isEmpty())) {
            notes.add("no usage is recorded for " + month);
        }
        return notes;
    }
}
