package org.skylarkbend.gateway.call;

import java.util.Optional;

/**
 * Load that an endpoint reports in a response header: {@code running,waiting,slots}.
 *
 * @param running number of running calls
 * @param waiting number of waiting calls
 */
record LoadHeader(int running, int waiting) {
    private static final String PATTERN = "\\d{1,9},\\d{1,9},\\d{1,9}";

    /** Parses the header. Returns empty if it is absent or malformed. */
    static Optional<LoadHeader> parse(String value) {
        if (value == null || !value.matches(PATTERN)) {
            return Optional.empty();
        }
        String[] parts = value.split(",");
        return Optional.of(new LoadHeader(Integer.parseInt(parts[0]), Integer.parseInt(parts[1])));
    }
}
