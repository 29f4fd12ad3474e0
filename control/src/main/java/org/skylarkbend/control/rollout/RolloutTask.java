package org.skylarkbend.control.rollout;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteMessage.CallSplits;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.control.log.ValueSlice;
import org.skylarkbend.moves.rollout.ExposureLimit;
import org.skylarkbend.moves.rollout.Rollout;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutDecision;
import org.skylarkbend.moves.rollout.RolloutFleet;
import org.skylarkbend.moves.rollout.RolloutJudge;
import org.skylarkbend.moves.rollout.RolloutMessage.Advanced;
import org.skylarkbend.moves.rollout.RolloutOutcomes;
import org.skylarkbend.moves.rollout.RolloutPhase;
import org.skylarkbend.moves.rollout.RolloutState;

/**
 * Judges the rollouts while this member leads, proposes their next phases, and tells the gateways
 * how to divide the calls.
 */
public final class RolloutTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(RolloutTask.class);
    private static final long TICK_MILLISECONDS = 250;

    /**
     * A committed order that is at most this old was accepted just now. An older one comes from
     * before the start of this process, and its age is taken from the time of day.
     */
    private static final long RECENT_ORDER_MILLISECONDS = 3_000;

    /** Smallest change of a trial's share that is sent to the gateways. */
    private static final double MIN_SHARE_CHANGE = 0.01;

    /** A judge and the share of the calls that it has decided on. */
    private record Judged(RolloutJudge judge, double share) {}

    private final ControlLog mLog;
    private final ExposureLimit mExposure;
    private final MillisecondClock mClock;
    private final MillisecondClock mWall;
    private final Consumer<CallSplits> mOnSplits;
    private final Map<String, Judged> mJudges = new HashMap<>();
    private final Map<String, Long> mOrderedMilliseconds = new HashMap<>();
    private final Set<String> mProposed = new HashSet<>();
    private Context mContext;
    private Leadership mLeadership = Leadership.unknown();
    private RolloutState mState = RolloutState.empty();

    /** The endpoints that this member has read since it leads. */
    private Optional<Endpoints> mEndpoints = Optional.empty();

    private Map<String, EndpointWork> mWork = Map.of();
    private long mWorkMilliseconds = Long.MIN_VALUE / 2;
    private CallSplits mLastSplits = new CallSplits(List.of());

    /**
     * Creates a task that decides nothing until this member becomes the leader.
     *
     * @param log the replicated log, which each change of phase goes through
     * @param exposure the limit on the calls of a version that may be bad
     * @param clock a monotonic clock
     * @param wall the clock for the timestamps of log entries
     * @param onSplits called on the context of the task when the division of calls has changed
     */
    public RolloutTask(
            ControlLog log,
            ExposureLimit exposure,
            MillisecondClock clock,
            MillisecondClock wall,
            Consumer<CallSplits> onSplits) {
        mLog = log;
        mExposure = exposure;
        mClock = clock;
        mWall = wall;
        mOnSplits = onSplits;
    }

    /** Returns the rollouts as a slice of the replicated state. */
    public static ReplicatedSlice slice(Consumer<RolloutState> onChange) {
        return new ValueSlice<>(
                RolloutCodec.SLICE,
                RolloutState.empty(),
                (state, payload, proposedEpochMilliseconds) ->
                        RolloutCodec.decode(payload)
                                .flatMap(
                                        message -> state.after(message, proposedEpochMilliseconds)),
                new ValueSlice.Encoding<>(RolloutCodec::encodeState, RolloutCodec::decodeState),
                onChange);
    }

    @Override
    public Future<?> start() {
        mContext = context;
        vertx.setPeriodic(TICK_MILLISECONDS, id -> decide());
        return Future.succeededFuture();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mContext.runOnContext(ignored -> leadershipChanged(leadership));
    }

    /** Notifies the task of a change of the replicated rollouts. */
    public void post(RolloutState state) {
        mContext.runOnContext(ignored -> stateChanged(state));
    }

    /** Notifies the task of a change of the listed endpoints. */
    public void post(Endpoints endpoints) {
        mContext.runOnContext(
                ignored -> {
                    boolean isFirst = mEndpoints.isEmpty();
                    mEndpoints = Optional.of(endpoints);
                    if (isFirst) {
                        decide();
                    }
                });
    }

    /** Passes the work that all gateways together have in flight, by endpoint. */
    public void postWork(Map<String, EndpointWork> work) {
        mContext.runOnContext(
                ignored -> {
                    mWork = work;
                    mWorkMilliseconds = mClock.nowMilliseconds();
                });
    }

    /** Passes the report of a gateway to the task. */
    public void postOutcomes(byte[] payload) {
        mContext.runOnContext(
                ignored ->
                        RolloutCodec.decodeOutcomes(payload)
                                .match(
                                        this::addOutcomes,
                                        error ->
                                                LOG.warn(
                                                        "rollout.outcomes.garbled",
                                                        "detail",
                                                        error.detail())));
    }

    private void addOutcomes(RolloutOutcomes outcomes) {
        Judged judged = mJudges.get(outcomes.service());
        if (judged != null) {
            judged.judge().add(outcomes);
        }
    }

    private void leadershipChanged(Leadership leadership) {
        boolean continues = leadership.continues(mLeadership);
        mLeadership = leadership;
        if (!continues) {
            mJudges.clear();
            mProposed.clear();
            mEndpoints = Optional.empty();
            decide();
        }
    }

    private void stateChanged(RolloutState state) {
        long nowMilliseconds = mClock.nowMilliseconds();
        for (Rollout rollout : state.rollouts().values()) {
            Rollout known = mState.rollouts().get(rollout.service());
            boolean isNew =
                    known == null
                            || known.orderedEpochMilliseconds()
                                    != rollout.orderedEpochMilliseconds();
            if (isNew) {
                mOrderedMilliseconds.put(
                        rollout.service(), nowMilliseconds - ageMilliseconds(rollout));
            }
            if (isNew || known.phase() != rollout.phase()) {
                log(rollout);
            }
        }
        mState = state;
        mProposed.clear();
        decide();
    }

    private long ageMilliseconds(Rollout rollout) {
        long ageMilliseconds = mWall.nowMilliseconds() - rollout.orderedEpochMilliseconds();
        return ageMilliseconds < RECENT_ORDER_MILLISECONDS
                ? 0
                : Math.min(ageMilliseconds, rollout.durationMilliseconds());
    }

    private void log(Rollout rollout) {
        Judged judged = mJudges.get(rollout.service());
        LOG.info(
                "rollout.phase",
                "service",
                rollout.service(),
                "version",
                rollout.version(),
                "phase",
                rollout.phase(),
                "reason",
                rollout.reason(),
                "finished_calls",
                judged == null ? "-" : judged.judge().finishedNewCalls(),
                "evidence_worse",
                judged == null ? "-" : judged.judge().strongestEvidence());
    }

    private void decide() {
        if (mLeadership.leads()) {
            mState.rollouts().values().stream()
                    .filter(rollout -> !rollout.phase().isFinal())
                    .forEach(this::judge);
        }
        sendSplits();
    }

    private void judge(Rollout rollout) {
        long nowMilliseconds = mClock.nowMilliseconds();
        Judged judged = mJudges.get(rollout.service());
        if (judged == null || !judged.judge().judges(rollout)) {
            judged = new Judged(newJudge(rollout, nowMilliseconds), 0);
        }
        judged.judge().update(rollout, nowMilliseconds);
        RolloutJudge judge = judged.judge();
        Optional<RolloutDecision> decision =
                mEndpoints
                        .map(
                                endpoints ->
                                        judge.decide(fleetOf(rollout, endpoints), nowMilliseconds))
                        .or(() -> judge.decideWithoutFleet(nowMilliseconds));
        double share = decision.map(RolloutDecision::share).orElseGet(() -> lastShareOf(rollout));
        mJudges.put(rollout.service(), new Judged(judge, share));
        decision.flatMap(RolloutDecision::advance).ifPresent(this::propose);
    }

    private RolloutJudge newJudge(Rollout rollout, long nowMilliseconds) {
        long orderedMilliseconds = mOrderedMilliseconds.get(rollout.service());
        boolean knowsAllCalls = nowMilliseconds - orderedMilliseconds < TICK_MILLISECONDS;
        return new RolloutJudge(
                rollout, mExposure, knowsAllCalls, orderedMilliseconds, nowMilliseconds);
    }

    private RolloutFleet fleetOf(Rollout rollout, Endpoints endpoints) {
        boolean listsVersion = false;
        Set<String> otherVersions = new HashSet<>();
        long callsAtOthers = 0;
        for (Endpoint endpoint : endpoints.endpoints()) {
            if (!endpoint.service().equals(rollout.service())) {
                continue;
            }
            if (endpoint.softwareVersion().equals(rollout.version())) {
                listsVersion |= !endpoint.leaving();
            } else {
                otherVersions.add(endpoint.softwareVersion());
                callsAtOthers +=
                        mWork.getOrDefault(endpoint.incarnation(), EndpointWork.none()).calls();
            }
        }
        return new RolloutFleet(listsVersion, otherVersions, callsAtOthers, mWorkMilliseconds);
    }

    /** Proposes the next phase, once until the outcome is known. */
    private void propose(Advanced advance) {
        if (!mProposed.add(advance.service())) {
            return;
        }
        mLog.propose(
                        new ControlEntry(
                                RolloutCodec.SLICE,
                                mWall.nowMilliseconds(),
                                RolloutCodec.encode(advance)))
                .onSuccess(
                        result -> mContext.runOnContext(ignored -> proposalEnded(advance, result)));
    }

    private void proposalEnded(Advanced advance, Result<byte[]> result) {
        mProposed.remove(advance.service());
        result.match(
                applied -> {},
                error ->
                        LOG.warn(
                                "rollout.proposal.failed",
                                "service",
                                advance.service(),
                                "phase",
                                advance.phase(),
                                "detail",
                                error.detail()));
    }

    private void sendSplits() {
        List<VersionSplit> splits = new ArrayList<>();
        for (Rollout rollout : mState.rollouts().values()) {
            splits.add(
                    new VersionSplit(
                            rollout.service(),
                            rollout.version(),
                            shareOf(rollout),
                            rollout.retiredVersions()));
        }
        CallSplits current = new CallSplits(splits);
        if (!current.equals(mLastSplits)) {
            LOG.info("rollout.shares", "splits", splits);
            mLastSplits = current;
            mOnSplits.accept(current);
        }
    }

    private double shareOf(Rollout rollout) {
        if (rollout.phase().isFinal()) {
            return rollout.phase() == RolloutPhase.COMPLETED ? 1 : 0;
        }
        Judged judged = mJudges.get(rollout.service());
        double share = judged == null ? 0 : judged.share();
        double last = lastShareOf(rollout);
        boolean isSmallChange = last > 0 && share > 0 && Math.abs(last - share) < MIN_SHARE_CHANGE;
        return isSmallChange ? last : share;
    }

    private double lastShareOf(Rollout rollout) {
        return mLastSplits.splits().stream()
                .filter(split -> split.service().equals(rollout.service()))
                .filter(split -> split.version().equals(rollout.version()))
                .mapToDouble(VersionSplit::share)
                .findFirst()
                .orElse(0);
    }
}
