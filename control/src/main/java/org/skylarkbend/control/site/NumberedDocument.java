package org.skylarkbend.control.site;

import java.nio.charset.StandardCharsets;
import java.util.function.LongBinaryOperator;

/**
 * The document that describes a site, with its number.
 *
 * @param number the number of the document; 0 if there is no document yet
 * @param text the text sent by operators
 */
public record NumberedDocument(long number, String text) {
    /** The rule by which the higher of two numbers is in force. */
    public static final LongBinaryOperator HIGHEST_NUMBER = Math::max;

    /** Returns a document with number 0, which represents the absence of a document. */
    public static NumberedDocument none() {
        return new NumberedDocument(0, "");
    }

    /** Returns whether there is a document. */
    public boolean isPresent() {
        return number > 0;
    }

    /**
     * Returns the document in force after another one was accepted. A document with the same number
     * as this one changes nothing, whatever its text.
     *
     * @param rule returns the one of two numbers that is in force
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
