package org.skylarkbend.moves.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.OutcomeWindow;

/**
 * Judges the new version of a service during one rollout and one term of leadership.
 *
 * <p>During the trial, the version gets so few calls that it stays within the exposure limit even
 * if it turns out to be bad at the end. Routes are judged separately, because a version may be bad
 * on one of them only. The share then grows in steps, so that a version that fails under load is
 * found before it has all calls. Confined to one task.
 */
public final class RolloutJudge {
    /** Outcomes are compared in windows, in which all versions met about the same load. */
    private static final long MIN_WINDOW_MILLISECONDS = 500;

    private static final long MAX_WINDOW_MILLISECONDS = 2_000;

    /** Number of finished calls that end a window after its minimum length. */
    private static final long WINDOW_CALLS = 30;

    /** Minimum time at each share after the trial. */
    static final long STEP_MILLISECONDS = 800;

    /** Number of finished calls of the new version that end the trial early. */
    static final long TRIAL_CALLS = 40;

    /** Number of finished calls of the new version without which it is not brought in. */
    static final long MIN_TRIAL_CALLS = 15;

    /**
     * Time without a finished call of the new version after which it is not trusted: that of
     * several reports of a gateway.
     */
    private static final long UNHEARD_MILLISECONDS = 750;

    /** Number of calls of the new version from which it counts that none has finished. */
    private static final long MIN_UNHEARD_CALLS = 3;

    /** Part of the duration before which no trial ends, as versions may turn bad late. */
    private static final double MIN_TRIAL_RATIO = 0.4;

    /** Part of the duration that is reserved for the steps and for the calls at other versions. */
    private static final double SHIFT_RATIO = 0.35;

    private static final long MIN_SHIFT_MILLISECONDS = 4_500;

    /** Reserve for the report of the end before the rollout has to be completed. */
    private static final long REPORT_MILLISECONDS = 800;

    /** Time for which the share of the trial has to last until the next decision takes effect. */
    private static final double SHARE_LOOKAHEAD_SECONDS = 1.2;

    private static final double MAX_TRIAL_SHARE = 0.25;

    /** Share of the trial while the number of calls is not known yet. */
    private static final double FIRST_TRIAL_SHARE = 0.05;

    private static final List<Double> STEP_SHARES = List.of(0.25, 0.5, 1.0);
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final String NOT_SHOWN_TO_BE_GOOD = "not shown to be good in time";
    private static final String NOT_LISTED = "no endpoint of the version is listed";

    private final ExposureLimit mLimit;
    private final boolean mKnowsAllCalls;
    private final long mOrderedMilliseconds;
    private final Map<ObjectName, OutcomeWindow> mWindow = new HashMap<>();
    private final Map<ObjectName, VersionEvidence> mEvidence = new HashMap<>();
    private VersionEvidence mTotalEvidence = VersionEvidence.none();
    private Rollout mRollout;
    private long mWindowBeganMilliseconds;
    private long mRateBeganMilliseconds;
    private long mSentSinceRate;
    private double mSentPerSecond;
    private long mSent;
    private long mSentToVersion;
    private long mSentSinceHeard;
    private long mHeardMilliseconds;
    private boolean mHeard;
    private int mStep;
    private long mStepBeganMilliseconds;

    /**
     * Creates a judge without evidence.
     *
     * @param rollout the rollout, in a phase that is not final
     * @param limit the limit on the calls of a version that may be bad
     * @param knowsAllCalls true if this leader has received the reports of all calls since the
     *     order
     * @param orderedMilliseconds the monotonic time of the order
     * @param nowMilliseconds the current monotonic time
     */
    public RolloutJudge(
            Rollout rollout,
            ExposureLimit limit,
            boolean knowsAllCalls,
            long orderedMilliseconds,
            long nowMilliseconds) {
        mRollout = rollout;
        mLimit = limit;
        mKnowsAllCalls = knowsAllCalls;
        mOrderedMilliseconds = orderedMilliseconds;
        mWindowBeganMilliseconds = nowMilliseconds;
        mRateBeganMilliseconds = nowMilliseconds;
        mStepBeganMilliseconds = nowMilliseconds;
        mHeardMilliseconds = nowMilliseconds;
    }

    /** Returns whether this judge is for the given rollout, in any phase. */
    public boolean judges(Rollout rollout) {
        return mRollout.service().equals(rollout.service())
                && mRollout.version().equals(rollout.version())
                && mRollout.orderedEpochMilliseconds() == rollout.orderedEpochMilliseconds();
    }

    /** Records the current phase of the rollout, and keeps the evidence. */
    public void update(Rollout rollout, long nowMilliseconds) {
        if (rollout.phase() != mRollout.phase()) {
            mRollout = rollout;
            mStep = 0;
            mStepBeganMilliseconds = nowMilliseconds;
        }
    }

    /** Records the report of a gateway. */
    public void add(RolloutOutcomes outcomes) {
        if (!outcomes.version().equals(mRollout.version())) {
            return;
        }
        mSent += outcomes.sentToOthers() + outcomes.sentToVersion();
        mSentToVersion += outcomes.sentToVersion();
        mSentSinceRate += outcomes.sentToOthers() + outcomes.sentToVersion();
        boolean isHeard =
                outcomes.windows().stream().anyMatch(window -> window.toVersion().requests() > 0);
        mHeard |= isHeard;
        mSentSinceHeard = isHeard ? 0 : mSentSinceHeard + outcomes.sentToVersion();
        outcomes.windows()
                .forEach(window -> mWindow.merge(window.route(), window, OutcomeWindow::plus));
    }

    /** Returns what to do now. */
    public RolloutDecision decide(RolloutFleet fleet, long nowMilliseconds) {
        return decideWithoutFleet(nowMilliseconds)
                .orElseGet(
                        () ->
                                mRollout.phase() == RolloutPhase.TRIAL
                                        ? trial(fleet, nowMilliseconds)
                                        : shift(fleet, nowMilliseconds));
    }

    /**
     * Returns the rollback of a version that is worse, the one decision that needs no endpoints.
     */
    public Optional<RolloutDecision> decideWithoutFleet(long nowMilliseconds) {
        endWindow(nowMilliseconds);
        updateRate(nowMilliseconds);
        if (mHeard) {
            mHeard = false;
            mHeardMilliseconds = nowMilliseconds;
        }
        return evidence()
                .flatMap(evidence -> evidence.rollbackReason().stream())
                .findFirst()
                .map(this::rollback);
    }

    /** Returns the strongest evidence against the version over all routes, for the log. */
    public double strongestEvidence() {
        return evidence().mapToDouble(VersionEvidence::averageEvidence).max().orElse(0);
    }

    /** Returns the number of finished calls of the new version. */
    public long finishedNewCalls() {
        return mTotalEvidence.newCalls();
    }

    private void endWindow(long nowMilliseconds) {
        long lengthMilliseconds = nowMilliseconds - mWindowBeganMilliseconds;
        long finishedCalls =
                mWindow.values().stream()
                        .mapToLong(
                                window ->
                                        window.fromVersion().requests()
                                                + window.toVersion().requests())
                        .sum();
        boolean isComplete =
                lengthMilliseconds >= MIN_WINDOW_MILLISECONDS && finishedCalls >= WINDOW_CALLS
                        || lengthMilliseconds >= MAX_WINDOW_MILLISECONDS;
        if (!isComplete) {
            return;
        }
        mWindow.forEach(
                (route, window) ->
                        mEvidence.merge(
                                route,
                                VersionEvidence.none().with(window),
                                (known, ignored) -> known.with(window)));
        mWindow.values().stream()
                .reduce(OutcomeWindow::plus)
                .ifPresent(total -> mTotalEvidence = mTotalEvidence.with(total));
        mWindow.clear();
        mWindowBeganMilliseconds = nowMilliseconds;
    }

    private void updateRate(long nowMilliseconds) {
        long lengthMilliseconds = nowMilliseconds - mRateBeganMilliseconds;
        if (lengthMilliseconds >= MIN_WINDOW_MILLISECONDS) {
            double perSecond = mSentSinceRate * MILLISECONDS_PER_SECOND / lengthMilliseconds;
            mSentPerSecond = mSentPerSecond == 0 ? perSecond : (mSentPerSecond + perSecond) / 2;
            mSentSinceRate = 0;
            mRateBeganMilliseconds = nowMilliseconds;
        }
    }

    /**
     * Returns whether the version seems worse on a route or on all, counting the calls of the
     * window that has not ended yet.
     */
    private boolean isSuspicious() {
        Stream<VersionEvidence> byRoute =
                mWindow.values().stream()
                        .map(
                                window ->
                                        mEvidence
                                                .getOrDefault(
                                                        window.route(), VersionEvidence.none())
                                                .with(window));
        Stream<VersionEvidence> total =
                mWindow.values().stream().reduce(OutcomeWindow::plus).stream()
                        .map(mTotalEvidence::with);
        return Stream.of(evidence(), byRoute, total)
                .flatMap(evidence -> evidence)
                .anyMatch(VersionEvidence::isSuspicious);
    }

    /**
     * Returns whether a call of the new version has finished since a time, or too few are under way
     * to tell. Calls that hang are evidence of nothing until their timeouts.
     */
    private boolean isHeardSince(long milliseconds) {
        return mHeardMilliseconds >= milliseconds || mSentSinceHeard < MIN_UNHEARD_CALLS;
    }

    private Stream<VersionEvidence> evidence() {
        return Stream.concat(Stream.of(mTotalEvidence), mEvidence.values().stream());
    }

    private RolloutDecision trial(RolloutFleet fleet, long nowMilliseconds) {
        long completeByMilliseconds = mOrderedMilliseconds + mRollout.durationMilliseconds();
        long shiftMilliseconds =
                Math.max(
                        MIN_SHIFT_MILLISECONDS,
                        (long) (SHIFT_RATIO * mRollout.durationMilliseconds()));
        long shiftByMilliseconds = completeByMilliseconds - shiftMilliseconds;
        long earliestMilliseconds =
                mOrderedMilliseconds + (long) (MIN_TRIAL_RATIO * mRollout.durationMilliseconds());
        long neededCalls = nowMilliseconds < shiftByMilliseconds ? TRIAL_CALLS : MIN_TRIAL_CALLS;
        boolean isDue =
                nowMilliseconds >= Math.min(earliestMilliseconds, shiftByMilliseconds)
                        && finishedNewCalls() >= neededCalls;
        boolean isHeard = isHeardSince(nowMilliseconds - UNHEARD_MILLISECONDS);
        if (fleet.listsVersion() && isDue && isHeard && !isSuspicious()) {
            return new RolloutDecision(
                    STEP_SHARES.get(0), Optional.of(advance(RolloutPhase.SHIFTING, Set.of(), "")));
        }
        if (nowMilliseconds >= completeByMilliseconds - STEP_SHARES.size() * STEP_MILLISECONDS) {
            return rollback(fleet.listsVersion() ? NOT_SHOWN_TO_BE_GOOD : NOT_LISTED);
        }
        return new RolloutDecision(fleet.listsVersion() ? trialShare() : 0, Optional.empty());
    }

    private double trialShare() {
        if (mSentPerSecond == 0) {
            return FIRST_TRIAL_SHARE;
        }
        double remaining = mLimit.remaining(mSent, mSentToVersion, mKnowsAllCalls);
        double share = remaining / (mSentPerSecond * SHARE_LOOKAHEAD_SECONDS);
        return Math.max(0, Math.min(MAX_TRIAL_SHARE, share));
    }

    private RolloutDecision shift(RolloutFleet fleet, long nowMilliseconds) {
        long untilEndMilliseconds =
                mOrderedMilliseconds
                        + mRollout.durationMilliseconds()
                        - REPORT_MILLISECONDS
                        - nowMilliseconds;
        boolean isHeard = isHeardSince(nowMilliseconds - UNHEARD_MILLISECONDS);
        if (isSuspicious() || !isHeard) {
            return untilEndMilliseconds <= 0
                    ? rollback(NOT_SHOWN_TO_BE_GOOD)
                    : new RolloutDecision(STEP_SHARES.get(mStep), Optional.empty());
        }
        boolean isLastStep = mStep == STEP_SHARES.size() - 1;
        long stepEndMilliseconds = mStepBeganMilliseconds + STEP_MILLISECONDS;
        boolean isStepOver =
                nowMilliseconds >= stepEndMilliseconds && isHeardSince(stepEndMilliseconds);
        if (!isLastStep && (isStepOver || untilEndMilliseconds < STEP_MILLISECONDS)) {
            mStep++;
            mStepBeganMilliseconds = nowMilliseconds;
        } else if (isLastStep) {
            boolean othersAreIdle =
                    fleet.callsAtOthers() == 0
                            && fleet.reportedMilliseconds() > mStepBeganMilliseconds;
            if (isStepOver && othersAreIdle || untilEndMilliseconds <= 0) {
                return new RolloutDecision(
                        1, Optional.of(advance(RolloutPhase.COMPLETED, fleet.otherVersions(), "")));
            }
        }
        return new RolloutDecision(STEP_SHARES.get(mStep), Optional.empty());
    }

    private RolloutDecision rollback(String reason) {
        return new RolloutDecision(
                0,
                Optional.of(advance(RolloutPhase.ROLLED_BACK, Set.of(mRollout.version()), reason)));
    }

    private RolloutMessage.Advanced advance(
            RolloutPhase phase, Set<String> retiredVersions, String reason) {
        return new RolloutMessage.Advanced(
                mRollout.service(), mRollout.version(), phase, retiredVersions, reason);
    }
}
