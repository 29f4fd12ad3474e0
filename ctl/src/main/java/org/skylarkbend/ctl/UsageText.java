package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Formats usage as a table for a terminal. */
final class UsageText {
    private UsageText() {}

    static String statement(JsonNode usage) {
        StringBuilder text =
                new StringBuilder("month " + usage.path("month").asText() + " (UTC)\n");
        text.append(
                String.format(
                        "%-20s %14s %14s %14s %14s %14s %s%n",
                        "CUSTOMER", "SPEND", "GRANT", "PROMPT", "CACHED", "ANSWER", "CURRENCY"));
        for (JsonNode customer : usage.path("customers")) {
            text.append(
                    String.format(
                            "%-20s %14s %14s %14d %14d %14d %s%n",
                            customer.path("customer").asText(),
                            amount(customer.path("spend"), "not priced"),
                            amount(customer.path("grant"), "none"),
                            customer.path("prompt_tokens").asLong(),
                            customer.path("cached_tokens").asLong(),
                            customer.path("answer_tokens").asLong(),
                            customer.path("currency").asText()));
        }
        return text.append(notes(usage)).toString();
    }

    static String forecast(JsonNode usage) {
        StringBuilder text =
                new StringBuilder("forecast for " + usage.path("month").asText() + " (UTC)\n");
        text.append(
                String.format(
                        "%-20s %14s %14s %14s %14s %s%n",
                        "CUSTOMER", "LOW", "EXPECTED", "HIGH", "GRANT", "CURRENCY"));
        for (JsonNode customer : usage.path("customers")) {
            text.append(
                    String.format(
                            "%-20s %14s %14s %14s %14s %s%s%n",
                            customer.path("customer").asText(),
                            amount(customer.path("low"), "-"),
                            amount(customer.path("expected"), "-"),
                            amount(customer.path("high"), "-"),
                            amount(customer.path("grant"), "none"),
                            customer.path("currency").asText(),
                            problem(customer)));
        }
        text.append("method: ").append(usage.path("method").asText()).append('\n');
        return text.append(notes(usage)).toString();
    }

    static String amount(JsonNode value, String absent) {
        return value.isNumber() ? String.format(Locale.ROOT, "%.2f", value.asDouble()) : absent;
    }

    private static String problem(JsonNode customer) {
        String problem = customer.path("problem").asText();
        return problem.isEmpty() ? "" : " (" + problem + ")";
    }

    private static String notes(JsonNode usage) {
        StringBuilder text = new StringBuilder();
        usage.path("notes")
                .forEach(note -> text.append("note: ").append(note.asText()).append('\n'));
        return text.toString();
    }
}
