package org.skylarkbend.moves;

import java.util.Optional;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;

/**
 * The evidence about a new version on one route, on errors, empty answers and the time to the first
 * token.
 *
 * @param errors the test on errors
 * @param emptyAnswers the test on empty answers
 * @param firstToken the test on slow first tokens
 * @param newRequests how many requests the new version has ended
 * @param stepRequests how many of them since its share last grew
 */
public record VersionJudge(
        SequentialTest errors,
        SequentialTest emptyAnswers,
        SequentialTest firstToken,
        long newRequests,
        long stepRequests) {
    /** A version as good as the old one is taken back with at most this probability. */
    public static final double FALSE_ALARM_RATE = 0.001;

    /** The evidence that lets the share grow: 1 in 20 of those not good enough may get there. */
    private static final double PROOF = 20;

    private static final double SLOW_SHARE = 0.1;
    private static final int TESTS = 3;

    /** A judge that has seen nothing. */
    public static VersionJudge empty() {
        SequentialTest test = SequentialTest.empty();
        return new VersionJudge(test, test, test, 0, 0);
    }

    /** Adds a window. */
    public VersionJudge with(OutcomeWindow window) {
        Outcomes from = window.fromVersion();
        Outcomes to = window.toVersion();
        return new VersionJudge(
                errors.with(from.requests(), from.errors(), to.requests(), to.errors()),
                emptyAnswers.with(
                        from.requests(), from.emptyAnswers(), to.requests(), to.emptyAnswers()),
                withFirstTokens(from, to),
                newRequests + to.requests(),
                stepRequests + to.requests());
    }

    /** Begins to count the requests at a larger share. */
    public VersionJudge atNextStep() {
        return new VersionJudge(errors, emptyAnswers, firstToken, newRequests, 0);
    }

    /** Why the new version must be taken back, if it must. */
    public Optional<String> fault() {
        double worst =
                errors.evidenceWorse() + emptyAnswers.evidenceWorse() + firstToken.evidenceWorse();
        if (worst / TESTS < 1 / FALSE_ALARM_RATE) {
            return Optional.empty();
        }
        if (errors.evidenceWorse() * 2 > worst) {
            return Optional.of("more errors than the old version");
        }
        return emptyAnswers.evidenceWorse() * 2 > worst
                ? Optional.of("more empty answers than the old version")
                : Optional.of("slower to the first token than the old version");
    }

    /** Whether the share may grow beyond that of an unproven version. */
    public boolean isProven() {
        return firstToken.evidenceNotWorse() >= PROOF;
    }

    /** Slow is what lies beyond nine tenths of both versions together, in this window. */
    private SequentialTest withFirstTokens(Outcomes from, Outcomes to) {
        int timed = from.timedRequests() + to.timedRequests();
        int place = 0;
        int last = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS.size() - 1;
        while (place < last && from.slowerThan(place) + to.slowerThan(place) > SLOW_SHARE * timed) {
            place++;
        }
        return firstToken.with(
                from.timedRequests(),
                from.slowerThan(place),
                to.timedRequests(),
                to.slowerThan(place));
    }
}
