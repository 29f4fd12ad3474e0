package org.skylarkbend.control.limits;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.limits.LimitRegistryChange.Register;
import org.skylarkbend.control.limits.LimitRegistryChange.Unregister;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitOwnerDecider;
import org.skylarkbend.limits.LimitOwnerEffect;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerEffect.WakeAt;
import org.skylarkbend.limits.LimitOwnerMessage;
import org.skylarkbend.limits.LimitOwnerMessage.LimitsPublished;
import org.skylarkbend.limits.LimitOwnerMessage.RouterConnected;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitOwnerMessage.Wake;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;

/**
 * Distributes the rate limits of customers to routers while this member leads, with one decider per
 * term.
 *
 * <p>A decider is created only after a quorum has confirmed the leadership: from then on every
 * entry of earlier terms has been applied and the registry is complete.
 */
public final class LimitOwnerTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(LimitOwnerTask.class);
    private static final long CONFIRM_RETRY_MILLISECONDS = 200;

    private final ControlLog mLog;
    private final LimitPolicy mPolicy;
    private final MillisecondClock mMonotonic;
    private final MillisecondClock mWall;
    private final BiConsumer<RouterIdentity, byte[]> mSend;
    private final LimitCodec mCodec = new LimitCodec();
    private final LimitRegistryCodec mRegistryCodec = new LimitRegistryCodec();
    private Context mContext;
    private Leadership mLeadership = Leadership.unknown();
    private LimitRegistry mRegistry = LimitRegistry.empty();
    private List<CustomerLimit> mLimits = List.of();
    private Optional<LimitOwnerDecider> mDecider = Optional.empty();
    private List<SendConfirmed> mUnconfirmedSends = new ArrayList<>();
    private boolean mConfirmationInFlight;
    private long mWakeTimerId = -1;

    /**
     * Creates a task that stays passive until this member becomes the leader.
     *
     * @param log the replicated log
     * @param policy the division of tokens between the owner and the routers
     * @param monotonic the clock for refilling token buckets
     * @param wall the clock for the timestamps of log entries
     * @param send sends a limits message to a router; dropped if the router is not connected
     */
    public LimitOwnerTask(
            ControlLog log,
            LimitPolicy policy,
            MillisecondClock monotonic,
            MillisecondClock wall,
            BiConsumer<RouterIdentity, byte[]> send) {
        mLog = log;
        mPolicy = policy;
        mMonotonic = monotonic;
        mWall = wall;
        mSend = send;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        return Future.succeededFuture();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mContext.runOnContext(ignored -> leadershipChanged(leadership));
    }

    /** Notifies the task of a change of the replicated router registry. */
    public void post(LimitRegistry registry) {
        mContext.runOnContext(ignored -> mRegistry = registry);
    }

    /** Notifies the task of the latest published set. */
    public void post(PublishedSet set) {
        mContext.runOnContext(ignored -> applySet(set));
    }

    /** Replaces the limits of all customers. */
    public void postLimits(List<CustomerLimit> limits) {
        List<CustomerLimit> copied = List.copyOf(limits);
        mContext.runOnContext(ignored -> limitsChanged(copied));
    }

    /** Notifies the task that a router has connected. */
    public void postConnected(RouterIdentity router) {
        mContext.runOnContext(ignored -> decide(new RouterConnected(router)));
    }

    /** Passes a limits message from a router to the task. */
    public void postMessage(RouterIdentity router, byte[] payload) {
        mContext.runOnContext(
                ignored ->
                        mCodec.decode(payload)
                                .match(
                                        message ->
                                                decide(new RouterMessageReceived(router, message)),
                                        error ->
                                                LOG.warn(
                                                        "control.limits.garbled",
                                                        "router",
                                                        router.vm(),
                                                        "detail",
                                                        error.detail())));
    }

    private void applySet(PublishedSet set) {
        limitsChanged(
                set.customers().values().stream()
                        .map(customer -> limitOf(set, customer.name()))
                        .filter(Objects::nonNull)
                        .toList());
    }

    private void limitsChanged(List<CustomerLimit> limits) {
        mLimits = limits;
        decide(new LimitsPublished(mLimits));
    }

    private static CustomerLimit limitOf(PublishedSet set, ObjectName customer) {
        Rate rate = set.rates().get(set.customers().get(customer).rate());
        return rate == null
                ? null
                : new CustomerLimit(customer, rate.tokensPerSecond(), rate.burstTokens());
    }

    private void leadershipChanged(Leadership leadership) {
        boolean sameTerm = leadership.term() == mLeadership.term();
        boolean continues = mLeadership.leads() && leadership.leads() && sameTerm;
        mLeadership = leadership;
        if (!continues) {
            mDecider = Optional.empty();
            mUnconfirmedSends = new ArrayList<>();
            if (leadership.leads()) {
                startTerm(leadership.term());
            }
        }
    }

    private void startTerm(long term) {
        if (!isLeaderInTerm(term) || mDecider.isPresent()) {
            return;
        }
        mLog.confirmLeadership()
                .onSuccess(
                        result ->
                                result.match(
                                        index -> termConfirmed(term),
                                        error ->
                                                vertx.setTimer(
                                                        CONFIRM_RETRY_MILLISECONDS,
                                                        id -> startTerm(term))));
    }

    private void termConfirmed(long term) {
        if (isLeaderInTerm(term) && mDecider.isEmpty()) {
            LOG.info(
                    "control.limits.owner",
                    "term",
                    term,
                    "routers",
                    mRegistry.routers().size(),
                    "leaderless_milliseconds",
                    mLeadership.leaderlessMilliseconds());
            mDecider =
                    Optional.of(
                            new LimitOwnerDecider(
                                    mPolicy,
                                    term,
                                    mRegistry,
                                    mLeadership.leaderlessMilliseconds(),
                                    mMonotonic.nowMilliseconds()));
            decide(new LimitsPublished(mLimits));
        }
    }

    private boolean isLeaderInTerm(long term) {
        return mLeadership.leads() && mLeadership.term() == term;
    }

    private void decide(LimitOwnerMessage message) {
        mDecider.map(decider -> decider.decide(message, mMonotonic.nowMilliseconds()))
                .ifPresent(effects -> Effects.executeEach(effects, this::execute));
    }

    private void execute(LimitOwnerEffect effect) {
        if (effect instanceof Send send) {
            mSend.accept(send.router(), mCodec.encode(send.message()));
        } else if (effect instanceof SendConfirmed send) {
            mUnconfirmedSends.add(send);
            confirmAndSend();
        } else if (effect instanceof LimitOwnerEffect.Register register) {
            propose(new Register(register.router()));
        } else if (effect instanceof LimitOwnerEffect.Unregister unregister) {
            propose(new Unregister(unregister.router()));
        } else if (effect instanceof LimitOwnerEffect.Reclaimed reclaimed) {
            LOG.warn("control.limits.reclaimed", "vm", reclaimed.router().vm());
        } else if (effect instanceof WakeAt wake) {
            scheduleWake(wake.atMilliseconds());
        }
    }

    /**
     * Sends grants after a quorum confirmation. One confirmation covers all grants that were
     * decided before it started.
     */
    private void confirmAndSend() {
        if (mConfirmationInFlight || mUnconfirmedSends.isEmpty()) {
            return;
        }
        mConfirmationInFlight = true;
        List<SendConfirmed> sends = mUnconfirmedSends;
        mUnconfirmedSends = new ArrayList<>();
        long term = mLeadership.term();
        mLog.confirmLeadership()
                .onComplete(
                        done -> {
                            mConfirmationInFlight = false;
                            if (done.succeeded()
                                    && done.result().isSuccess()
                                    && isLeaderInTerm(term)) {
                                sends.forEach(
                                        s -> mSend.accept(s.router(), mCodec.encode(s.message())));
                            }
                            confirmAndSend();
                        });
    }

    private void propose(LimitRegistryChange change) {
        ControlEntry entry =
                new ControlEntry(
                        LimitRegistryChange.SLICE,
                        mWall.nowMilliseconds(),
                        mRegistryCodec.encode(change));
        long term = mLeadership.term();
        mLog.propose(entry)
                .onSuccess(
                        result -> {
                            boolean registered = change instanceof Register && result.isSuccess();
                            if (registered && isLeaderInTerm(term)) {
                                decide(new RouterRegistered(change.router()));
                            }
                        });
    }

    private void scheduleWake(long atMilliseconds) {
        vertx.cancelTimer(mWakeTimerId);
        long waitMilliseconds = Math.max(1, atMilliseconds - mMonotonic.nowMilliseconds());
        mWakeTimerId = vertx.setTimer(waitMilliseconds, id -> decide(new Wake()));
    }
}
