package org.skylarkbend.gateway.call;

import java.util.Optional;

/**
 * What an endpoint says it has to do: {@code running,waiting,slots}.
 *
 * @param running how many calls it runs
 * @param waiting how many wait
 */
record LoadHeader(int running, int waiting) {
    private static final String SHAPE = "\\d{1,9},\\d{1,9},\\d{1,9}";

    /** Reads the header; nothing where it is absent or garbled. */
    static Optional<LoadHeader> read(String value) {
        if (value == null || !value.matches(SHAPE)) {
            return Optional.empty();
        }
        String[] parts = value.split(",");
        return Optional.of(new LoadHeader(Integer.parseInt(parts[0]), Integer.parseInt(parts[1])));
    }
}
