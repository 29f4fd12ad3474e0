package org.skylarkbend.base;

import java.util.regex.Pattern;

/**
 * The name of a published object, of a VM or of a data centre.
 *
 * <p>Names have 1 to 64 characters out of {@code a-z}, {@code 0-9}, {@code -}, {@code _} and {@code
 * .}, and start with a letter or a digit.
 */
public record ObjectName(String value) implements Comparable<ObjectName> {
    private static final Pattern VALID_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,63}");

    /** Throws IllegalArgumentException if the value is not a valid name. */
    public ObjectName {
        if (!isValid(value)) {
            throw new IllegalArgumentException("invalid name: " + value);
        }
    }

    /** Returns whether the text is a valid name. */
    public static boolean isValid(String value) {
        return value != null && VALID_PATTERN.matcher(value).matches();
    }

    /** Returns the name with this value. */
    public static ObjectName of(String value) {
        return new ObjectName(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ObjectName name && name.value.equals(value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ObjectName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
