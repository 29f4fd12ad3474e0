package org.skylarkbend.control.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import org.skylarkbend.usage.Spend;
import org.skylarkbend.usage.SpendForecast;
import org.skylarkbend.usage.UsageForecast;
import org.skylarkbend.usage.UsageForecast.CustomerForecast;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageStatement;
import org.skylarkbend.usage.UsageStatement.CustomerStatement;
import org.skylarkbend.usage.UsageTokens;

/**
 * Encodes usage statements and forecasts as JSON. Amounts are in the currency given in the same
 * object.
 */
final class UsageJson {
    private UsageJson() {}

    static ObjectNode of(UsageStatement statement) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("month", statement.month().toString());
        ArrayNode customers = json.putArray("customers");
        statement.customers().forEach(customer -> customers.add(customerJson(customer)));
        ArrayNode notes = json.putArray("notes");
        statement.notes().forEach(notes::add);
        return json;
    }

    static ObjectNode of(UsageForecast forecast) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("month", forecast.month().toString()).put("method", UsageForecast.METHOD);
        ArrayNode customers = json.putArray("customers");
        forecast.customers().forEach(customer -> customers.add(forecastJson(customer)));
        ArrayNode notes = json.putArray("notes");
        forecast.notes().forEach(notes::add);
        return json;
    }

    private static ObjectNode customerJson(CustomerStatement statement) {
        ObjectNode json = tokensJson(statement.tokens());
        json.put("customer", statement.customer().value());
        statement
                .price()
                .ifPresent(
                        price -> {
                            json.put("currency", price.rate().currency());
                            putGrant(json, price.customer().grantPerMonth());
                        });
        statement.spend().ifPresent(spend -> json.put("spend", spend));
        ArrayNode lines = json.putArray("lines");
        statement.lines().forEach(line -> lines.add(lineJson(statement, line)));
        ArrayNode days = json.putArray("days");
        statement.tokensByDay().forEach((day, t) -> days.add(dayJson(statement, day, t)));
        return json;
    }

    private static ObjectNode lineJson(CustomerStatement statement, MonthTokens line) {
        ObjectNode json = tokensJson(line.tokens());
        json.put("key", line.subject().key().value());
        json.put("route", line.subject().route().value());
        putSpend(json, statement, line.tokens());
        return json;
    }

    private static ObjectNode dayJson(
            CustomerStatement statement, LocalDate day, UsageTokens tokens) {
        ObjectNode json = tokensJson(tokens);
        json.put("day", day.toString());
        putSpend(json, statement, tokens);
        return json;
    }

    private static ObjectNode forecastJson(CustomerForecast customer) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("customer", customer.customer().name().value());
        json.put("currency", customer.rate().currency());
        putGrant(json, customer.customer().grantPerMonth());
        if (customer.forecast().isEmpty()) {
            json.put(
                    "problem",
                    "fewer than " + SpendForecast.MIN_OBSERVED_DAYS + " whole days were observed");
        }
        customer.forecast()
                .ifPresent(
                        forecast -> {
                            json.put("low", forecast.low()).put("expected", forecast.expected());
                            json.put("high", forecast.high());
                            json.put("observed_days", forecast.observedDays());
                        });
        return json;
    }

    private static void putSpend(ObjectNode json, CustomerStatement statement, UsageTokens tokens) {
        statement.price().ifPresent(price -> json.put("spend", Spend.of(tokens, price.rate())));
    }

    /** Writes the grant, unless the customer has none. */
    private static void putGrant(ObjectNode json, double grant) {
        if (grant < Double.MAX_VALUE) {
            json.put("grant", grant);
        }
    }

    private static ObjectNode tokensJson(UsageTokens tokens) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("prompt_tokens", tokens.promptTokens());
        json.put("cached_tokens", tokens.cachedTokens());
        json.put("answer_tokens", tokens.answerTokens());
        return json;
    }
}
