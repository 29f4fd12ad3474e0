package org.skylarkbend.gateway.call;

import java.util.Locale;
import java.util.OptionalLong;

/** The time in a Retry-After header, in seconds that may have a fraction. */
public final class RetryAfterHeader {
    /** The name of the header. */
    public static final String NAME = "Retry-After";

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /** Up to eleven days. Longer times, and dates, are not understood. */
    private static final String SECONDS = "\\d{1,6}(\\.\\d{1,9})?";

    private RetryAfterHeader() {}

    /** Returns the time; empty if the header is absent or has another form. */
    public static OptionalLong parseMilliseconds(String value) {
        if (value == null || !value.trim().matches(SECONDS)) {
            return OptionalLong.empty();
        }
        double seconds = Double.parseDouble(value.trim());
        return OptionalLong.of((long) Math.ceil(seconds * MILLISECONDS_PER_SECOND));
    }

    /** Returns the header for a time. */
    public static String format(long milliseconds) {
        return String.format(
                Locale.ROOT, "%.3f", Math.max(1, milliseconds) / MILLISECONDS_PER_SECOND);
    }
}
