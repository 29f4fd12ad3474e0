package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats usage as CSV (RFC 4180), followed by notes in lines that begin with {@code #}. */
final class UsageCsv {
    private static final String LINE_END = "\r\n";

    private UsageCsv() {}

    static String statement(JsonNode usage) {
        StringBuilder csv =
                new StringBuilder(
                        "month,customer,key,route,prompt_tokens,cached_tokens,answer_tokens,"
                                + "spend,currency"
                                + LINE_END);
        for (JsonNode customer : usage.path("customers")) {
            for (JsonNode line : customer.path("lines")) {
                row(
                        csv,
                        usage.path("month"),
                        customer.path("customer"),
                        line.path("key"),
                        line.path("route"),
                        line.path("prompt_tokens"),
                        line.path("cached_tokens"),
                        line.path("answer_tokens"),
                        line.path("spend"),
                        customer.path("currency"));
            }
        }
        return csv.append(notes(usage)).toString();
    }

    static String forecast(JsonNode usage) {
        StringBuilder csv =
                new StringBuilder(
                        "month,customer,low,expected,high,grant,currency,observed_days,problem"
                                + LINE_END);
        for (JsonNode customer : usage.path("customers")) {
            row(
                    csv,
                    usage.path("month"),
                    customer.path("customer"),
                    customer.path("low"),
                    customer.path("expected"),
                    customer.path("high"),
                    customer.path("grant"),
                    customer.path("currency"),
                    customer.path("observed_days"),
                    customer.path("problem"));
        }
        return csv.append(notes(usage)).toString();
    }

    private static void row(StringBuilder csv, JsonNode... values) {
        for (int i = 0; i < values.length; i++) {
            csv.append(i == 0 ? "" : ",").append(quoted(values[i].asText()));
        }
        csv.append(LINE_END);
    }

    /**
     * Quotes values with separators, and prefixes values that a spreadsheet would run as formulas.
     */
    private static String quoted(String value) {
        if (!value.isEmpty() && "=+-@".indexOf(value.charAt(0)) >= 0) {
            return "\"'" + value.replace("\"", "\"\"") + "\"";
        }
        boolean needsNoQuotes = value.chars().noneMatch(c -> c == ',' || c == '"' || c < ' ');
        return needsNoQuotes ? value : "\"" + value.replace("\"", "\"\"") + "\"";
    }

    private static String notes(JsonNode usage) {
        StringBuilder text = new StringBuilder();
        usage.path("notes").forEach(n -> text.append("# ").append(n.asText()).append(LINE_END));
        return text.toString();
    }
}
