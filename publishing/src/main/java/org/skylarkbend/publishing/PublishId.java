package org.skylarkbend.publishing;

import java.util.regex.Pattern;

/**
 * Identifies one publish, chosen by the operator, so that a retry gets the original result.
 *
 * <p>A publish ID has 1 to 64 letters, digits, {@code -}, {@code _} or {@code .}.
 */
public record PublishId(String value) {
    private static final Pattern VALID_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /** Throws IllegalArgumentException if the value is not a valid publish ID. */
    public PublishId {
        if (!isValid(value)) {
            throw new IllegalArgumentException("invalid publish ID: " + value);
        }
    }

    /** Returns whether the text is a valid publish ID. */
    public static boolean isValid(String value) {
        return value != null && VALID_PATTERN.matcher(value).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
