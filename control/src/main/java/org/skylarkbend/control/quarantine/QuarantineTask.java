package org.skylarkbend.control.quarantine;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.control.log.ValueSlice;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.quarantine.CrashAnalysis;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.Quarantine;
import org.skylarkbend.quarantine.QuarantineCodec;
import org.skylarkbend.quarantine.QuarantineMessage;
import org.skylarkbend.quarantine.QuarantineMessage.Imposed;
import org.skylarkbend.quarantine.QuarantineMessage.Lifted;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.QuarantineState;

/**
 * Collects the crash reports of gateways while this member leads, proposes quarantines and their
 * end, and tells the gateways about them.
 *
 * <p>The end of a quarantine is measured from the time at which this process learned of it, by its
 * monotonic clock. A change of the leader can only prolong it.
 */
public final class QuarantineTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(QuarantineTask.class);
    private static final long TICK_MILLISECONDS = 100;

    /**
     * Time for which reports are collected before a decision, for each gateway that reports. All
     * gateways report a crash at about the same time, and each decision is sent to all of them.
     */
    private static final long COLLECTING_MILLISECONDS_PER_GATEWAY = 2;

    private final ControlLog mLog;
    private final MillisecondClock mClock;
    private final MillisecondClock mWall;
    private final Consumer<QuarantineNotice> mOnNotice;
    private final CrashAnalysis mAnalysis = new CrashAnalysis();
    private final Map<PartCombination, Long> mInForceSinceMilliseconds = new HashMap<>();
    private final Set<String> mReporters = new HashSet<>();
    private boolean mCollecting;
    private final Set<PartCombination> mProposed = new HashSet<>();
    private Context mContext;
    private Leadership mLeadership = Leadership.unknown();
    private QuarantineState mState = QuarantineState.empty();
    private Set<PromptPart> mWatched = Set.of();

    /**
     * Creates a task that decides nothing until this member becomes the leader.
     *
     * @param log the replicated log, which each change goes through
     * @param clock a monotonic clock
     * @param wall the clock for the timestamps of log entries
     * @param onNotice receives each notice for the gateways, on the context of the task
     */
    public QuarantineTask(
            ControlLog log,
            MillisecondClock clock,
            MillisecondClock wall,
            Consumer<QuarantineNotice> onNotice) {
        mLog = log;
        mClock = clock;
        mWall = wall;
        mOnNotice = onNotice;
    }

    /** Returns the quarantines as a slice of the replicated state. */
    public static ReplicatedSlice slice(Consumer<QuarantineState> onChange) {
        return new ValueSlice<>(
                QuarantineCodec.SLICE,
                QuarantineState.empty(),
                (state, payload, proposedEpochMilliseconds) ->
                        QuarantineCodec.decode(payload)
                                .map(message -> state.after(message, proposedEpochMilliseconds)),
                new ValueSlice.Encoding<>(
                        QuarantineCodec::encodeState, QuarantineCodec::decodeState),
                onChange);
    }

    @Override
    public Future<?> start() {
        mContext = context;
        vertx.setPeriodic(
                TICK_MILLISECONDS,
                id -> {
                    if (!mCollecting) {
                        decide();
                    }
                });
        return Future.succeededFuture();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mContext.runOnContext(
                ignored -> {
                    boolean continues = leadership.continues(mLeadership);
                    mLeadership = leadership;
                    if (!continues) {
                        mAnalysis.clearReports(mClock.nowMilliseconds());
                        mProposed.clear();
                        mReporters.clear();
                        decide();
                        sendNotice();
                    }
                });
    }

    /** Notifies the task of a change of the replicated quarantines. */
    public void post(QuarantineState state) {
        mContext.runOnContext(ignored -> stateChanged(state));
    }

    /** Passes the report of a gateway to the task. */
    public void postEvidence(RouterIdentity gateway, byte[] payload) {
        mContext.runOnContext(
                ignored ->
                        QuarantineCodec.decodeEvidence(payload)
                                .match(
                                        evidence -> addEvidence(gateway, evidence),
                                        error ->
                                                LOG.warn(
                                                        "quarantine.evidence.garbled",
                                                        "detail",
                                                        error.detail())));
    }

    private void addEvidence(RouterIdentity gateway, CrashEvidence evidence) {
        if (mLeadership.leads()) {
            String reporter = gateway.vm() + "#" + gateway.incarnation();
            mAnalysis.add(reporter, evidence, mClock.nowMilliseconds());
            mReporters.add(reporter);
            decideSoon();
        }
    }

    private void decideSoon() {
        if (!mCollecting) {
            mCollecting = true;
            vertx.setTimer(
                    mReporters.size() * COLLECTING_MILLISECONDS_PER_GATEWAY,
                    id -> {
                        mCollecting = false;
                        decide();
                    });
        }
    }

    private void stateChanged(QuarantineState state) {
        Set<PartCombination> inForce = state.inForce();
        mInForceSinceMilliseconds.keySet().retainAll(inForce);
        inForce.forEach(
                combination ->
                        mInForceSinceMilliseconds.putIfAbsent(
                                combination, mClock.nowMilliseconds()));
        state.combinations().forEach(this::changed);
        mState = state;
        mProposed.clear();
        decide();
        sendNotice();
    }

    private void changed(PartCombination combination, Quarantine quarantine) {
        if (mState.of(combination).filter(quarantine::equals).isPresent()) {
            return;
        }
        if (!quarantine.inForce()) {
            mAnalysis.lifted(combination, mClock.nowMilliseconds());
        }
        LOG.warn(
                quarantine.inForce() ? "quarantine.imposed" : "quarantine.lifted",
                "parts",
                combination.ids(),
                "model",
                combination.parts().first().model(),
                "times",
                quarantine.timesImposed(),
                "duration_milliseconds",
                quarantine.durationMilliseconds());
    }

    private void decide() {
        Set<PromptPart> watched = Set.of();
        if (mLeadership.leads()) {
            long nowMilliseconds = mClock.nowMilliseconds();
            watched = mAnalysis.watched(mState, nowMilliseconds);
            mAnalysis
                    .verdicts(mState, nowMilliseconds)
                    .forEach(combination -> propose(new Imposed(combination)));
            mState.inForce().stream()
                    .filter(combination -> remainingMilliseconds(combination, nowMilliseconds) == 0)
                    .forEach(combination -> propose(new Lifted(combination)));
        }
        if (!watched.equals(mWatched)) {
            LOG.info("quarantine.watched", "parts", watched.size());
            mWatched = watched;
            sendNotice();
        }
    }

    private long remainingMilliseconds(PartCombination combination, long nowMilliseconds) {
        long durationMilliseconds = mState.combinations().get(combination).durationMilliseconds();
        long inForceMilliseconds = nowMilliseconds - mInForceSinceMilliseconds.get(combination);
        return Math.max(0, durationMilliseconds - inForceMilliseconds);
    }

    private void sendNotice() {
        long nowMilliseconds = mClock.nowMilliseconds();
        Map<PartCombination, Long> remainingMilliseconds = new HashMap<>();
        for (PartCombination combination : mState.inForce()) {
            remainingMilliseconds.put(
                    combination, remainingMilliseconds(combination, nowMilliseconds));
        }
        mOnNotice.accept(new QuarantineNotice(mWatched, remainingMilliseconds));
    }

    /** Proposes a change, once until the outcome is known. */
    private void propose(QuarantineMessage change) {
        if (!mProposed.add(change.combination())) {
            return;
        }
        LOG.info(
                "quarantine.proposed",
                "parts",
                change.combination().ids(),
                "in_force",
                change instanceof Imposed,
                "crashes",
                mAnalysis.crashesWith(change.combination()));
        mLog.propose(
                        new ControlEntry(
                                QuarantineCodec.SLICE,
                                mWall.nowMilliseconds(),
                                QuarantineCodec.encode(change)))
                .onSuccess(
                        result -> mContext.runOnContext(ignored -> proposalEnded(change, result)));
    }

    private void proposalEnded(QuarantineMessage change, Result<byte[]> result) {
        mProposed.remove(change.combination());
        result.match(
                applied -> {},
                error ->
                        LOG.warn(
                                "quarantine.proposal.failed",
                                "parts",
                                change.combination().ids(),
                                "detail",
                                error.detail()));
    }
}
