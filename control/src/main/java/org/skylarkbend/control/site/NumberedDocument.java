package org.skylarkbend.control.site;

import java.nio.charset.StandardCharsets;
import java.util.function.LongBinaryOperator;

/**
 * The document that describes a site, under its number.
 *
 * @param number its number; 0 before there is one
 * @param text what operators sent
 */
public record NumberedDocument(long number, String text) {
    /** Which of two numbers is in force: the rule of sites whose highest number counts. */
    public static final LongBinaryOperator HIGHEST = Math::max;

    /** Before the first document. */
    public static NumberedDocument none() {
        return new NumberedDocument(0, "");
    }

    /** Whether there is a document. */
    public boolean isPresent() {
        return number > 0;
    }

    /**
     * What is in force once another document was accepted. A document under the number held changes
     * nothing, whatever it says.
     *
     * @param rule tells which of two numbers is in force
     */
    public NumberedDocument after(NumberedDocument other, LongBinaryOperator rule) {
        boolean replaces =
                other.number() != number
                        && rule.applyAsLong(number, other.number()) == other.number();
        return replaces ? other : this;
    }

    byte[] bytes() {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
