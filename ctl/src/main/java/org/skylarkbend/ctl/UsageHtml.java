package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Formats usage as a self-contained HTML page with inline SVG plots. */
final class UsageHtml {
    private static final int WIDTH_PIXELS = 640;
    private static final int HEIGHT_PIXELS = 120;
    private static final int BAR_HEIGHT_PIXELS = 18;
    private static final String STYLE =
            "body{font-family:sans-serif;max-width:48em;margin:2em auto}"
                    + "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}"
                    + "td:first-child,th:first-child{text-align:left}";

    private UsageHtml() {}

    static String statement(JsonNode usage) {
        StringBuilder body = new StringBuilder();
        for (JsonNode customer : usage.path("customers")) {
            body.append("<h2>").append(escaped(customer.path("customer"))).append("</h2>\n");
            body.append("<p>spend ").append(UsageText.amount(customer.path("spend"), "not priced"));
            body.append(" of grant ").append(UsageText.amount(customer.path("grant"), "none"));
            body.append(' ').append(escaped(customer.path("currency"))).append("</p>\n");
            body.append(daysPlot(customer));
            body.append(linesTable(customer));
        }
        return page("Usage in " + usage.path("month").asText() + " (UTC)", body, usage);
    }

    static String forecast(JsonNode usage) {
        StringBuilder body = new StringBuilder();
        for (JsonNode customer : usage.path("customers")) {
            body.append("<h2>").append(escaped(customer.path("customer"))).append("</h2>\n");
            if (customer.has("problem")) {
                body.append("<p>no forecast: ").append(escaped(customer.path("problem")));
                body.append("</p>\n");
            } else {
                body.append("<p>").append(UsageText.amount(customer.path("low"), "-"));
                body.append(" to ").append(UsageText.amount(customer.path("high"), "-"));
                body.append(", expected ").append(UsageText.amount(customer.path("expected"), "-"));
                body.append(' ').append(escaped(customer.path("currency"))).append("</p>\n");
                body.append(rangePlot(customer));
            }
        }
        body.append("<p>Method: ").append(escaped(usage.path("method"))).append("</p>\n");
        return page("Forecast for " + usage.path("month").asText() + " (UTC)", body, usage);
    }

    /** Returns a bar chart of the spend of each day of the month. */
    private static String daysPlot(JsonNode customer) {
        double maxAmount = 0;
        for (JsonNode day : customer.path("days")) {
            maxAmount = Math.max(maxAmount, day.path("spend").asDouble());
        }
        if (maxAmount <= 0) {
            return "<p>no priced usage to plot</p>\n";
        }
        StringBuilder svg = new StringBuilder(svgStart(HEIGHT_PIXELS));
        for (JsonNode day : customer.path("days")) {
            int dayOfMonth = Integer.parseInt(day.path("day").asText().substring(8));
            double height = (HEIGHT_PIXELS - 20) * day.path("spend").asDouble() / maxAmount;
            svg.append(rectangle((dayOfMonth - 1) * 20, HEIGHT_PIXELS - 15 - height, 16, height));
            svg.append("<text font-size='9' x='").append((dayOfMonth - 1) * 20);
            svg.append("' y='").append(HEIGHT_PIXELS - 3).append("'>");
            svg.append(dayOfMonth).append("</text>");
        }
        return svg.append("</svg>\n").toString();
    }

    /** Returns a plot of the forecast range as a bar, with lines for expected spend and grant. */
    private static String rangePlot(JsonNode customer) {
        double grant = customer.path("grant").asDouble();
        double maxAmount = Math.max(grant, customer.path("high").asDouble());
        if (maxAmount <= 0) {
            return "";
        }
        double scale = (WIDTH_PIXELS - 10) / maxAmount;
        double low = customer.path("low").asDouble() * scale;
        double high = customer.path("high").asDouble() * scale;
        StringBuilder svg = new StringBuilder(svgStart(BAR_HEIGHT_PIXELS + 4));
        svg.append(rectangle(low, 2, Math.max(1, high - low), BAR_HEIGHT_PIXELS));
        svg.append(line(customer.path("expected").asDouble() * scale, "black"));
        if (customer.has("grant")) {
            svg.append(line(grant * scale, "red"));
        }
        return svg.append("</svg><p>black: expected, red: grant</p>\n").toString();
    }

    private static String linesTable(JsonNode customer) {
        StringBuilder table =
                new StringBuilder(
                        "<table><tr><th>key</th><th>route</th><th>prompt</th><th>cached</th>"
                                + "<th>answer</th><th>spend</th></tr>\n");
        for (JsonNode line : customer.path("lines")) {
            table.append("<tr><td>").append(escaped(line.path("key"))).append("</td><td>");
            table.append(escaped(line.path("route"))).append("</td><td>");
            table.append(line.path("prompt_tokens").asLong()).append("</td><td>");
            table.append(line.path("cached_tokens").asLong()).append("</td><td>");
            table.append(line.path("answer_tokens").asLong()).append("</td><td>");
            table.append(UsageText.amount(line.path("spend"), "-")).append("</td></tr>\n");
        }
        return table.append("</table>\n").toString();
    }

    private static String page(String title, StringBuilder body, JsonNode usage) {
        StringBuilder notes = new StringBuilder();
        usage.path("notes").forEach(n -> notes.append("<li>").append(escaped(n)).append("</li>\n"));
        return "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'><title>"
                + title
                + "</title><style>"
                + STYLE
                + "</style></head><body>\n<h1>"
                + title
                + "</h1>\n"
                + (notes.isEmpty() ? "" : "<ul>\n" + notes + "</ul>\n")
                + body
                + "</body></html>\n";
    }

    private static String svgStart(int heightPixels) {
        return "<svg width='" + WIDTH_PIXELS + "' height='" + heightPixels + "' role='img'>";
    }

    private static String rectangle(double x, double y, double width, double height) {
        return String.format(
                Locale.ROOT,
                "<rect fill='steelblue' x='%.1f' y='%.1f' width='%.1f' height='%.1f'/>",
                x,
                y,
                width,
                height);
    }

    private static String line(double x, String color) {
        return String.format(
                Locale.ROOT,
                "<line stroke='%s' stroke-width='2' x1='%.1f' x2='%.1f' y1='0' y2='22'/>",
                color,
                x,
                x);
    }

    private static String escaped(JsonNode text) {
        return text.asText().replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
