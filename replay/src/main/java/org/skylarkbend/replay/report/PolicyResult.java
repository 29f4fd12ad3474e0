package org.skylarkbend.replay.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures of a policy over a trace.
 *
 * @param policy name of the policy
 * @param served number of requests that produced a first token
 * @param hitRate cached share of the prompt tokens of served requests
 * @param percentilesMilliseconds percentiles 1 to 99 of the time to first token
 * @param wastedTokens tokens of whole blocks that were computed again after an earlier computation
 * @param refusedByRate requests refused by the customer's rate limit
 * @param refusedInsideRate requests of customers within their rate limits that were refused
 * @param customers results per customer
 * @param p99MillisecondsByPriority 99th percentile of the time to first token per priority
 * @param hitRatesOverTime hit rate of each window of {@link RunMeasures#WINDOW_MILLISECONDS}
 */
public record PolicyResult(
        String policy,
        long served,
        double hitRate,
        List<Long> percentilesMilliseconds,
        long wastedTokens,
        long refusedByRate,
        long refusedInsideRate,
        List<CustomerResult> customers,
        Map<Integer, Long> p99MillisecondsByPriority,
        List<Double> hitRatesOverTime) {
    /** Copies the collections. */
    public PolicyResult {
        percentilesMilliseconds = List.copyOf(percentilesMilliseconds);
        customers = List.copyOf(customers);
        p99MillisecondsByPriority =
                java.util.Collections.unmodifiableMap(new TreeMap<>(p99MillisecondsByPriority));
        hitRatesOverTime = List.copyOf(hitRatesOverTime);
    }

    /** Returns the time to first token at a percentile from 1 to 99. */
    public long percentileMilliseconds(int percentile) {
        return percentilesMilliseconds.get(percentile - 1);
    }

    /** Returns the highest p95 of any customer. */
    public long worstCustomerP95Milliseconds() {
        return customers.stream().mapToLong(CustomerResult::p95Milliseconds).max().orElse(0);
    }

    /** Returns the median of the customers' p95. */
    public long medianCustomerP95Milliseconds() {
        List<Long> sorted =
                customers.stream()
                        .map(CustomerResult::p95Milliseconds)
                        .sorted(Comparator.naturalOrder())
                        .toList();
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    /** Returns the highest refused share of any customer. */
    public double worstRefusedShare() {
        return customers.stream().mapToDouble(CustomerResult::refusedShare).max().orElse(0);
    }

    /** Returns the p99 of the most urgent priority. */
    public long urgentP99Milliseconds() {
        return p99MillisecondsByPriority.values().stream().findFirst().orElse(0L);
    }
}
