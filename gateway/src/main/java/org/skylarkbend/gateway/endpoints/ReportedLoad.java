package org.skylarkbend.gateway.endpoints;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Load that an endpoint reports in a response header: {@code running,waiting,slots}, and as a
 * fourth figure the time of work on its machine, if that is shared with others.
 *
 * @param running number of running calls
 * @param waiting number of waiting calls
 * @param workTimePercent time that work takes at the moment, in percent of the usual time
 */
public record ReportedLoad(int running, int waiting, OptionalInt workTimePercent) {
    private static final String PATTERN = "\\d{1,9},\\d{1,9},\\d{1,9}(,\\d{1,6})?";
    private static final int FIGURES_WITH_WORK_TIME = 4;

    /** Parses the header. Returns empty if it is absent or malformed. */
    public static Optional<ReportedLoad> parse(String value) {
        if (value == null || !value.matches(PATTERN)) {
            return Optional.empty();
        }
        String[] figures = value.split(",");
        return Optional.of(
                new ReportedLoad(
                        Integer.parseInt(figures[0]),
                        Integer.parseInt(figures[1]),
                        figures.length == FIGURES_WITH_WORK_TIME
                                ? OptionalInt.of(Integer.parseInt(figures[3]))
                                : OptionalInt.empty()));
    }
}
