package org.skylarkbend.moves.rollout;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.moves.OutcomeWindow;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.moves.SequentialTest;

/**
 * Evidence about the new version, on one route or on all, from errors and slow responses.
 *
 * @param errors the test of errors
 * @param slowResponses the test of responses that began several times later than usual
 * @param others the outcomes of other versions so far
 * @param newCalls the number of finished calls of the new version
 * @param newErrors the number of those that failed
 * @param newSlow the number of those that were slow
 */
record VersionEvidence(
        SequentialTest errors,
        SequentialTest slowResponses,
        Outcomes others,
        long newCalls,
        long newErrors,
        long newSlow) {
    /** Maximum probability of rolling back a version that is as good as the old one. */
    private static final double FALSE_ALARM_RATE = 0.001;

    /** Evidence above which a version is not trusted, though not rolled back either. */
    private static final double SUSPICIOUS_EVIDENCE = 4;

    /** Number of bad responses from which their rate counts. */
    private static final long MIN_BAD_RESPONSES = 3;

    /** A rate of bad responses is suspicious beyond this multiple of that of other versions. */
    private static final double SUSPICIOUS_RATE_FACTOR = 2;

    /** A rate of bad responses that is never suspicious. */
    private static final double UNSUSPICIOUS_RATE = 0.1;

    /**
     * A response is slow beyond this multiple of the median of other versions. Endpoints that have
     * just started begin with empty caches and are up to three times slower.
     */
    private static final double SLOW_FACTOR = 4;

    private static final int TEST_COUNT = 2;

    static VersionEvidence none() {
        return new VersionEvidence(
                SequentialTest.empty(), SequentialTest.empty(), Outcomes.none(), 0, 0, 0);
    }

    VersionEvidence with(OutcomeWindow window) {
        Outcomes from = window.fromVersion();
        Outcomes to = window.toVersion();
        boolean isFull = others.requests() + from.requests() > Outcomes.MAX_REQUESTS;
        Outcomes known = isFull ? from : others.plus(from);
        int bound = slowBoundIndex(known);
        return new VersionEvidence(
                errors.with(from.requests(), from.errors(), to.requests(), to.errors()),
                slowResponses.with(
                        from.timedRequests(),
                        from.slowerThan(bound),
                        to.timedRequests(),
                        to.slowerThan(bound)),
                known,
                newCalls + to.requests(),
                newErrors + to.errors(),
                newSlow + to.slowerThan(bound));
    }

    /** Returns the reason to roll the version back, or empty if there is none. */
    Optional<String> rollbackReason() {
        if (averageEvidence() < 1 / FALSE_ALARM_RATE) {
            return Optional.empty();
        }
        return Optional.of(
                errors.evidenceWorse() > slowResponses.evidenceWorse()
                        ? "more errors than other versions"
                        : "slower than other versions");
    }

    /** Returns whether the version seems worse, without enough evidence for a rollback. */
    boolean isSuspicious() {
        int bound = slowBoundIndex(others);
        return averageEvidence() > SUSPICIOUS_EVIDENCE
                || isSuspiciousRate(newErrors, others.errors())
                || isSuspiciousRate(newSlow, others.slowerThan(bound));
    }

    private boolean isSuspiciousRate(long newBad, long othersBad) {
        double othersRate = (double) othersBad / Math.max(1, others.requests());
        return newBad >= MIN_BAD_RESPONSES
                && newBad > (SUSPICIOUS_RATE_FACTOR * othersRate + UNSUSPICIOUS_RATE) * newCalls;
    }

    double averageEvidence() {
        return (errors.evidenceWorse() + slowResponses.evidenceWorse()) / TEST_COUNT;
    }

    /** Returns the index of the first bound beyond which a response counts as slow. */
    private static int slowBoundIndex(Outcomes known) {
        List<Long> bounds = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS;
        int lastIndex = bounds.size() - 1;
        int median = 0;
        while (median < lastIndex && known.slowerThan(median) * 2 > known.timedRequests()) {
            median++;
        }
        int index = median;
        while (index < lastIndex && bounds.get(index) < SLOW_FACTOR * bounds.get(median)) {
            index++;
        }
        return index;
    }
}
