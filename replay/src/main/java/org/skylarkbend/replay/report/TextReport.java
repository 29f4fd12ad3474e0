package org.skylarkbend.replay.report;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints a table of the measures, and whether each expected outcome was met. */
public final class TextReport {
    private static final String ROW = "%-22s %8s %8s %8s %8s %12s %10s %10s %8s %8s %10s%n";

    private TextReport() {}

    /** Prints the report. */
    public static void print(ReplayReport report, List<ExpectedOutcome> outcomes, PrintStream out) {
        out.println("trace " + report.trace());
        out.printf(
                ROW,
                "policy",
                "hit",
                "p50 ms",
                "p95 ms",
                "p99 ms",
                "wasted tok",
                "worst p95",
                "worst ref",
                "ref in",
                "ref rate",
                "urgent p99");
        report.results().forEach(result -> row(result, result.policy(), out));
        row(report.undisturbed(), "undisturbed", out);
        for (Measure measure : Measure.values()) {
            out.printf(Locale.ROOT, "%-30s %.4f%n", measure.code(), measure.of(report));
        }
        outcomes.forEach(outcome -> outcome(outcome, report, out));
    }

    private static void row(PolicyResult result, String name, PrintStream out) {
        out.printf(
                ROW,
                name,
                String.format(Locale.ROOT, "%.4f", result.hitRate()),
                result.percentileMilliseconds(50),
                result.percentileMilliseconds(95),
                result.percentileMilliseconds(99),
                result.wastedTokens(),
                result.worstCustomerP95Milliseconds(),
                String.format(Locale.ROOT, "%.4f", result.worstRefusedShare()),
                result.refusedInsideRate(),
                result.refusedByRate(),
                result.urgentP99Milliseconds());
    }

    private static void outcome(ExpectedOutcome outcome, ReplayReport report, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%s %s = %.4f, expected %s to %s%n",
                outcome.isMet(report) ? "met   " : "MISSED",
                outcome.measure().code(),
                outcome.measure().of(report),
                outcome.atLeast(),
                outcome.atMost());
    }
}
