package org.skylarkbend.moves;

import java.util.Optional;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;

/**
 * Evidence about a new version on one route, from errors, empty responses and the time to the first
 * token.
 *
 * @param errors the test of errors
 * @param emptyResponses the test of empty responses
 * @param firstToken the test of slow first tokens
 * @param newRequests the number of finished requests of the new version
 * @param stepRequests the number of them since its share last grew
 */
public record VersionEvaluation(
        SequentialTest errors,
        SequentialTest emptyResponses,
        SequentialTest firstToken,
        long newRequests,
        long stepRequests) {
    /** Maximum probability of rolling back a version that is as good as the old one. */
    public static final double FALSE_ALARM_RATE = 0.001;

    /**
     * Evidence required before the share may grow: at most 1 in 20 versions that are not good
     * enough reach it.
     */
    private static final double MIN_PROOF_EVIDENCE = 20;

    /** Maximum share of the first tokens of a window that the test counts as slow. */
    private static final double SLOW_SHARE = 0.1;

    private static final int TEST_COUNT = 3;

    /** Returns an evaluation without observations. */
    public static VersionEvaluation empty() {
        SequentialTest test = SequentialTest.empty();
        return new VersionEvaluation(test, test, test, 0, 0);
    }

    /** Returns the evaluation after a window. */
    public VersionEvaluation with(OutcomeWindow window) {
        Outcomes from = window.fromVersion();
        Outcomes to = window.toVersion();
        return new VersionEvaluation(
                errors.with(from.requests(), from.errors(), to.requests(), to.errors()),
                emptyResponses.with(
                        from.requests(), from.emptyResponses(), to.requests(), to.emptyResponses()),
                withFirstTokens(from, to),
                newRequests + to.requests(),
                stepRequests + to.requests());
    }

    /** Returns the evaluation with the request count restarted for a larger share. */
    public VersionEvaluation withNewStep() {
        return new VersionEvaluation(errors, emptyResponses, firstToken, newRequests, 0);
    }

    /** Returns the reason to roll the new version back, or empty if there is none. */
    public Optional<String> rollbackReason() {
        double totalEvidence =
                errors.evidenceWorse()
                        + emptyResponses.evidenceWorse()
                        + firstToken.evidenceWorse();
        if (totalEvidence / TEST_COUNT < 1 / FALSE_ALARM_RATE) {
            return Optional.empty();
        }
        if (errors.evidenceWorse() * 2 > totalEvidence) {
            return Optional.of("more errors than the old version");
        }
        return emptyResponses.evidenceWorse() * 2 > totalEvidence
                ? Optional.of("more empty answers than the old version")
                : Optional.of("slower to the first token than the old version");
    }

    /** Returns whether the share may grow beyond that of an unproven version. */
    public boolean isProven() {
        return firstToken.evidenceNotWorse() >= MIN_PROOF_EVIDENCE;
    }

    /**
     * Adds the first token times. A request is slow if it is beyond the bound that nine tenths of
     * the requests of both versions in this window meet.
     */
    private SequentialTest withFirstTokens(Outcomes from, Outcomes to) {
        int timed = from.timedRequests() + to.timedRequests();
        int boundIndex = 0;
        int lastIndex = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS.size() - 1;
        while (boundIndex < lastIndex
                && from.slowerThan(boundIndex) + to.slowerThan(boundIndex) > SLOW_SHARE * timed) {
            boundIndex++;
        }
        return firstToken.with(
                from.timedRequests(),
                from.slowerThan(boundIndex),
                to.timedRequests(),
                to.slowerThan(boundIndex));
    }
}
