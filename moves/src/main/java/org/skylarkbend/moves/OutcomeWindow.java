package org.skylarkbend.moves;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ObjectName;

/**
 * Request outcomes of one route in a short window, by version.
 *
 * <p>Only counts of the same window are compared, so that both versions met the same load.
 *
 * @param route the route
 * @param fromVersion the outcomes of requests to the old version
 * @param toVersion the outcomes of requests to the new version
 */
public record OutcomeWindow(ObjectName route, Outcomes fromVersion, Outcomes toVersion) {
    /** Returns the sum of this window and another one of the same route. */
    public OutcomeWindow plus(OutcomeWindow other) {
        return new OutcomeWindow(
                route, fromVersion.plus(other.fromVersion), toVersion.plus(other.toVersion));
    }

    /**
     * The outcomes of one version.
     *
     * @param requests the number of finished requests
     * @param errors the number of failed requests
     * @param emptyResponses the number of requests that succeeded with an empty response
     * @param firstTokenCounts the number of requests by time to the first token, one count for each
     *     bound of {@link #FIRST_TOKEN_BOUNDS_MILLISECONDS} and a last one for those beyond all
     *     bounds
     */
    public record Outcomes(
            int requests, int errors, int emptyResponses, List<Integer> firstTokenCounts) {
        /** The upper bounds of the counts; every version and window uses the same ones. */
        public static final List<Long> FIRST_TOKEN_BOUNDS_MILLISECONDS =
                List.of(
                        10L, 20L, 40L, 60L, 80L, 100L, 150L, 200L, 300L, 400L, 600L, 800L, 1_200L,
                        2_000L, 4_000L, 8_000L);

        /** The maximum number of requests in one window. */
        public static final int MAX_REQUESTS = 100_000;

        /**
         * Throws {@link IllegalArgumentException} if a count is negative or too large, or if the
         * counts are inconsistent.
         */
        public Outcomes {
            firstTokenCounts = List.copyOf(firstTokenCounts);
            if (firstTokenCounts.size() != FIRST_TOKEN_BOUNDS_MILLISECONDS.size() + 1
                    || requests > MAX_REQUESTS
                    || errors < 0
                    || emptyResponses < 0
                    || errors + emptyResponses > requests
                    || firstTokenCounts.stream().anyMatch(count -> count < 0)) {
                throw new IllegalArgumentException(
                        "outcome counts are negative, above the maximum or inconsistent");
            }
            long timed = firstTokenCounts.stream().mapToLong(Integer::longValue).sum();
            if (timed > requests) {
                throw new IllegalArgumentException("more first token times than requests");
            }
        }

        /** Returns outcomes without requests. */
        public static Outcomes none() {
            return new Outcomes(
                    0,
                    0,
                    0,
                    java.util.Collections.nCopies(FIRST_TOKEN_BOUNDS_MILLISECONDS.size() + 1, 0));
        }

        /** Returns the sum of these and other outcomes. */
        public Outcomes plus(Outcomes other) {
            List<Integer> counts = new ArrayList<>(firstTokenCounts);
            for (int i = 0; i < counts.size(); i++) {
                counts.set(i, counts.get(i) + other.firstTokenCounts.get(i));
            }
            return new Outcomes(
                    requests + other.requests,
                    errors + other.errors,
                    emptyResponses + other.emptyResponses,
                    counts);
        }

        /** Returns the number of requests with a time to the first token. */
        public int timedRequests() {
            return firstTokenCounts.stream().mapToInt(Integer::intValue).sum();
        }

        /**
         * Returns the number of requests whose first token arrived later than the bound at the
         * index.
         */
        public int slowerThan(int boundIndex) {
            return firstTokenCounts.subList(boundIndex + 1, firstTokenCounts.size()).stream()
                    .mapToInt(Integer::intValue)
                    .sum();
        }
    }
}
