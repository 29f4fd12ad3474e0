package org.skylarkbend.replay.report;

import java.util.List;
import java.util.Locale;

/** Formats the measures as a self-contained HTML page. */
public final class HtmlReport {
    private static final double AXIS_HEADROOM = 1.1;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final int TAIL_PERCENTILE = 99;

    private HtmlReport() {}

    /** Returns the page. */
    public static String of(ReplayReport report, List<ExpectedOutcome> outcomes) {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        page.append("<title>skylark-replay</title><style>body{font:14px sans-serif;margin:2em}");
        page.append("table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:4px 8px;");
        page.append("text-align:right}</style></head><body>\n<h1>skylark-replay: ");
        page.append(escape(report.trace())).append("</h1>\n");
        page.append(table(report)).append(outcomes(report, outcomes));
        page.append("<h2>Time to first token by percentile</h2>\n").append(percentiles(report));
        page.append("<h2>Prefix hit rate over time</h2>\n").append(hitRates(report));
        page.append("<h2>Each customer's p95 time to first token</h2>\n").append(customers(report));
        return page.append("</body></html>\n").toString();
    }

    /** Escapes the characters that are special in HTML text. */
    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String table(ReplayReport report) {
        StringBuilder table = new StringBuilder("<table><tr><th>policy</th><th>hit rate</th>");
        table.append("<th>p50 ms</th><th>p95 ms</th><th>p99 ms</th><th>wasted tokens</th>");
        table.append("<th>worst customer p95 ms</th><th>worst refused share</th>");
        table.append("<th>refused inside rate</th><th>refused by rate</th></tr>\n");
        for (PolicyResult result : report.results()) {
            table.append("<tr>");
            cell(table, escape(result.policy()));
            cell(table, format("%.4f", result.hitRate()));
            cell(table, result.percentileMilliseconds(50));
            cell(table, result.percentileMilliseconds(95));
            cell(table, result.percentileMilliseconds(99));
            cell(table, result.wastedTokens());
            cell(table, result.worstCustomerP95Milliseconds());
            cell(table, format("%.4f", result.worstRefusedShare()));
            cell(table, result.refusedInsideRate());
            cell(table, result.refusedByRate());
            table.append("</tr>\n");
        }
        return table.append("</table>\n").toString();
    }

    private static String outcomes(ReplayReport report, List<ExpectedOutcome> outcomes) {
        StringBuilder list = new StringBuilder("<ul>");
        for (ExpectedOutcome outcome : outcomes) {
            list.append("<li>").append(outcome.isMet(report) ? "met: " : "<b>missed</b>: ");
            list.append(outcome.measure().code()).append(" = ");
            list.append(format("%.4f", outcome.measure().of(report))).append("</li>\n");
        }
        return list.append("</ul>\n").toString();
    }

    private static String percentiles(ReplayReport report) {
        double maxMilliseconds =
                report.results().stream()
                        .mapToDouble(result -> result.percentileMilliseconds(TAIL_PERCENTILE))
                        .min()
                        .orElse(1);
        SvgPlot plot = new SvgPlot("percentile", "ms", 100, 3 * maxMilliseconds);
        int index = 0;
        for (PolicyResult result : report.results()) {
            plot.line(index++, result.policy(), result.percentilesMilliseconds(), 1, 1);
        }
        return plot.toSvg();
    }

    private static String hitRates(ReplayReport report) {
        int windows = report.own().hitRatesOverTime().size();
        double windowSeconds = RunMeasures.WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND;
        SvgPlot plot = new SvgPlot("seconds", "hit rate", windows * windowSeconds, 1);
        int index = 0;
        for (PolicyResult result : report.results()) {
            plot.line(index++, result.policy(), result.hitRatesOverTime(), 0, windowSeconds);
        }
        return plot.toSvg();
    }

    private static String customers(ReplayReport report) {
        double maxMilliseconds = AXIS_HEADROOM * report.own().worstCustomerP95Milliseconds() * 2;
        SvgPlot plot = new SvgPlot("customer", "ms", 1, maxMilliseconds);
        int groups = report.own().customers().size();
        for (int group = 0; group < groups; group++) {
            int customer = group;
            plot.groupName(group, groups, report.own().customers().get(group).customer().value());
            plot.bars(
                    group,
                    groups,
                    report.results().stream().map(result -> p95(result, customer)).toList());
        }
        for (int i = 0; i < report.results().size(); i++) {
            plot.legend(i, report.results().get(i).policy());
        }
        return plot.toSvg();
    }

    private static double p95(PolicyResult result, int customer) {
        return customer < result.customers().size()
                ? result.customers().get(customer).p95Milliseconds()
                : 0;
    }

    private static void cell(StringBuilder table, Object value) {
        table.append("<td>").append(value).append("</td>");
    }

    private static String format(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }
}
