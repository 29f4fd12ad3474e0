package org.skylarkbend.replay.report;

import java.util.Locale;

/** Formats the measures as CSV, with a line for each policy, measure and subject. */
public final class CsvReport {
    private CsvReport() {}

    /** Returns the report with its header line. */
    public static String of(ReplayReport report) {
        StringBuilder csv = new StringBuilder("policy,measure,subject,value\n");
        report.results().forEach(result -> append(csv, result));
        for (Measure measure : Measure.values()) {
            line(csv, report.own().policy(), measure.code(), "all", measure.of(report));
        }
        return csv.toString();
    }

    private static void append(StringBuilder csv, PolicyResult result) {
        String policy = result.policy();
        line(csv, policy, "served", "all", result.served());
        line(csv, policy, "hit_rate", "all", result.hitRate());
        line(csv, policy, "wasted_tokens", "all", result.wastedTokens());
        line(csv, policy, "refused_by_rate", "all", result.refusedByRate());
        line(csv, policy, "refused_inside_rate", "all", result.refusedInsideRate());
        for (int percentile = 1; percentile <= 99; percentile++) {
            double value = result.percentileMilliseconds(percentile);
            line(csv, policy, "first_token_milliseconds", "p" + percentile, value);
        }
        for (CustomerResult customer : result.customers()) {
            String name = customer.customer().value();
            line(csv, policy, "customer_p95_milliseconds", name, customer.p95Milliseconds());
            line(csv, policy, "customer_refused_share", name, customer.refusedShare());
        }
        result.p99MillisecondsByPriority()
                .forEach(
                        (p, value) ->
                                line(csv, policy, "priority_p99_milliseconds", "" + p, value));
        for (int i = 0; i < result.hitRatesOverTime().size(); i++) {
            String window = Long.toString(i * RunMeasures.WINDOW_MILLISECONDS);
            line(
                    csv,
                    policy,
                    "hit_rate_from_millisecond",
                    window,
                    result.hitRatesOverTime().get(i));
        }
    }

    private static void line(
            StringBuilder csv, String policy, String measure, String subject, double value) {
        String number = String.format(Locale.ROOT, "%.6f", value);
        csv.append(policy).append(',').append(measure).append(',');
        csv.append(subject).append(',').append(number).append('\n');
    }
}
