package org.skylarkbend.control.limits;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.limits.LimitRegistryChange.Forget;
import org.skylarkbend.control.limits.LimitRegistryChange.Register;
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
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitOwnerMessage.RouterSaid;
import org.skylarkbend.limits.LimitOwnerMessage.Wake;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;

/**
 * Owns the limits of customers while this member leads: one decider for each term.
 *
 * <p>A decider begins once a quorum has confirmed the leadership, since only then has every entry
 * of earlier terms been applied and the registry is whole.
 */
public final class LimitOwnerTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(LimitOwnerTask.class);
    private static final long RETRY_MILLISECONDS = 200;

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
    private Optional<LimitOwnerDecider> mOwner = Optional.empty();
    private List<SendConfirmed> mUnconfirmed = new ArrayList<>();
    private boolean mConfirming;
    private long mWakeTimer = -1;

    /**
     * A task that owns nothing until it is told that this member leads.
     *
     * @param log the replicated log
     * @param policy how owner and routers share
     * @param monotonic the clock that fills buckets
     * @param wall the clock that stamps entries
     * @param send sends a message of the slice to a router, if it is connected
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

    /** Tells the task who leads, and in which term. */
    public void post(Leadership leadership) {
        mContext.runOnContext(nothing -> leadershipChanged(leadership));
    }

    /** Tells the task the registry of the replicated state. */
    public void post(LimitRegistry registry) {
        mContext.runOnContext(nothing -> mRegistry = registry);
    }

    /** Tells the task the newest set. */
    public void post(PublishedSet set) {
        mContext.runOnContext(nothing -> published(set));
    }

    /** Tells the task the newest limits, all of them. */
    public void postLimits(List<CustomerLimit> limits) {
        List<CustomerLimit> copied = List.copyOf(limits);
        mContext.runOnContext(nothing -> limitsChanged(copied));
    }

    /** Tells the task that a router is connected. */
    public void postConnected(RouterIdentity router) {
        mContext.runOnContext(nothing -> decide(new RouterConnected(router)));
    }

    /** Hands the task a message of a router. */
    public void postMessage(RouterIdentity router, byte[] payload) {
        mContext.runOnContext(
                nothing ->
                        mCodec.decode(payload)
                                .match(
                                        message -> decide(new RouterSaid(router, message)),
                                        error ->
                                                LOG.warn(
                                                        "control.limits.garbled",
                                                        "router",
                                                        router.vm(),
                                                        "detail",
                                                        error.detail())));
    }

    private void published(PublishedSet set) {
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
        boolean goesOn = mLeadership.leads() && leadership.leads() && sameTerm;
        mLeadership = leadership;
        if (!goesOn) {
            mOwner = Optional.empty();
            mUnconfirmed = new ArrayList<>();
            if (leadership.leads()) {
                begin(leadership.term());
            }
        }
    }

    private void begin(long term) {
        if (!leadsIn(term) || mOwner.isPresent()) {
            return;
        }
        mLog.confirmLeadership()
                .onSuccess(
                        result ->
                                result.match(
                                        index -> confirmedIn(term),
                                        error ->
                                                vertx.setTimer(
                                                        RETRY_MILLISECONDS, id -> begin(term))));
    }

    private void confirmedIn(long term) {
        if (leadsIn(term) && mOwner.isEmpty()) {
            LOG.info("control.limits.owner", "term", term, "routers", mRegistry.routers().size());
            mOwner =
                    Optional.of(
                            new LimitOwnerDecider(
                                    mPolicy, term, mRegistry, mMonotonic.nowMilliseconds()));
            decide(new LimitsPublished(mLimits));
        }
    }

    private boolean leadsIn(long term) {
        return mLeadership.leads() && mLeadership.term() == term;
    }

    private void decide(LimitOwnerMessage message) {
        mOwner.map(owner -> owner.decide(message, mMonotonic.nowMilliseconds()))
                .ifPresent(effects -> effects.forEach(this::carryOut));
    }

    private void carryOut(LimitOwnerEffect effect) {
        if (effect instanceof Send send) {
            mSend.accept(send.router(), mCodec.encode(send.message()));
        } else if (effect instanceof SendConfirmed send) {
            mUnconfirmed.add(send);
            confirmAndSend();
        } else if (effect instanceof LimitOwnerEffect.Register register) {
            propose(new Register(register.router()));
        } else if (effect instanceof LimitOwnerEffect.Forget forget) {
            propose(new Forget(forget.router()));
        } else if (effect instanceof WakeAt wake) {
            wakeAt(wake.atMilliseconds());
        }
    }

    /** One round of the quorum confirms all grants that were decided before it began. */
    private void confirmAndSend() {
        if (mConfirming || mUnconfirmed.isEmpty()) {
            return;
        }
        mConfirming = true;
        List<SendConfirmed> sends = mUnconfirmed;
        mUnconfirmed = new ArrayList<>();
        long term = mLeadership.term();
        mLog.confirmLeadership()
                .onComplete(
                        done -> {
                            mConfirming = false;
                            if (done.succeeded() && done.result().isSuccess() && leadsIn(term)) {
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
                            if (registered && leadsIn(term)) {
                                decide(new RouterRegistered(change.router()));
                            }
                        });
    }

    private void wakeAt(long atMilliseconds) {
        vertx.cancelTimer(mWakeTimer);
        long waitMilliseconds = Math.max(1, atMilliseconds - mMonotonic.nowMilliseconds());
        mWakeTimer = vertx.setTimer(waitMilliseconds, id -> decide(new Wake()));
    }
}
