package org.skylarkbend.replay.report;

import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.skylarkbend.replay.model.ReplayPolicy;

/** A measure of the router's own policy that an expected outcome can bound. */
public enum Measure {
    /** Cached prompt tokens as a share of all prompt tokens. */
    HIT_RATE(report -> report.own().hitRate()),
    /** Median time to first token. */
    P50_MILLISECONDS(report -> report.own().percentileMilliseconds(50)),
    /** 95th percentile of the time to first token. */
    P95_MILLISECONDS(report -> report.own().percentileMilliseconds(95)),
    /** 99th percentile of the time to first token. */
    P99_MILLISECONDS(report -> report.own().percentileMilliseconds(99)),
    /** Tokens of whole blocks that were computed more than once. */
    WASTED_TOKENS(report -> report.own().wastedTokens()),
    /** Requests refused although their customers were within their rate limits. */
    REFUSED_INSIDE_RATE(report -> report.own().refusedInsideRate()),
    /** Highest share of refused requests of any customer. */
    WORST_REFUSED_SHARE(report -> report.own().worstRefusedShare()),
    /** Highest p95 of any customer as a multiple of the median customer's. */
    WORST_CUSTOMER_P95_OF_MEDIAN(
            report ->
                    ratio(
                            report.own().worstCustomerP95Milliseconds(),
                            report.own().medianCustomerP95Milliseconds())),
    /** Hit rate as a multiple of the oracle's. */
    HIT_RATE_OF_ORACLE(
            report -> ratio(report.own().hitRate(), oracleValue(report, PolicyResult::hitRate))),
    /** p99 as a multiple of the oracle's. */
    P99_OF_ORACLE(
            report ->
                    ratio(
                            report.own().percentileMilliseconds(99),
                            oracleValue(report, result -> result.percentileMilliseconds(99)))),
    /** Wasted tokens as a multiple of those of plain rendezvous hashing. */
    WASTE_OF_RENDEZVOUS(
            report ->
                    ratio(
                            report.own().wastedTokens(),
                            report.of(ReplayPolicy.RENDEZVOUS)
                                    .map(result -> (double) result.wastedTokens())
                                    .orElse(Double.NaN))),
    /** p99 of the most urgent priority as a multiple of its p99 without the least urgent routes. */
    URGENT_P99_OF_UNDISTURBED(
            report ->
                    ratio(
                            report.own().urgentP99Milliseconds(),
                            report.undisturbed().urgentP99Milliseconds()));

    private final ToDoubleFunction<ReplayReport> mFunction;

    Measure(ToDoubleFunction<ReplayReport> function) {
        mFunction = function;
    }

    /** Returns the value in a report, or NaN if its baseline is missing. */
    public double of(ReplayReport report) {
        return mFunction.applyAsDouble(report);
    }

    /** Returns the name in outcome files and reports. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static double oracleValue(ReplayReport report, ToDoubleFunction<PolicyResult> value) {
        return report.of(ReplayPolicy.ORACLE).map(value::applyAsDouble).orElse(Double.NaN);
    }

    private static double ratio(double value, double base) {
        return base == 0 ? (value == 0 ? 1 : Double.POSITIVE_INFINITY) : value / base;
    }
}
