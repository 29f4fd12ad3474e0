package org.skylarkbend.gateway.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitOwnerDecider;
import org.skylarkbend.limits.LimitOwnerEffect;
import org.skylarkbend.limits.LimitOwnerMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Random schedule of calls, cancellations, changed limits, owners and lost messages at one gate.
 * The gate has the one timer that a gateway has for it, and messages of the owner take a random
 * time.
 */
final class GateSchedule {
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final RouterIdentity GATEWAY = new RouterIdentity(ObjectName.of("front-1"), 9);
    private static final List<ObjectName> CUSTOMERS =
            List.of(ObjectName.of("one"), ObjectName.of("two"));
    private static final int MAX_NESTED_CALLS = 3;

    /** Longest time for which a call may wait, with the one millisecond that a timer takes. */
    private static final long BOUND_MILLISECONDS = POLICY.ownerlessWaitMilliseconds() + 1;

    /** Decision that arrived, or is still due, for one call. */
    private final class Call implements TokenGate.Caller {
        private final long mReservedMilliseconds = mNowMilliseconds;
        private final int mDepth;
        private long mNumber;
        private int mDecisions;
        private boolean mCancelled;

        Call(int depth) {
            mDepth = depth;
        }

        @Override
        public void admitted() {
            decided();
        }

        @Override
        public void refused(long retryAfterMilliseconds) {
            decided();
        }

        /** Like a call that ends at once and thereby lets others begin. */
        private void decided() {
            mDecisions++;
            if (mDepth < MAX_NESTED_CALLS && mRandom.nextInt(3) == 0) {
                reserve(mDepth + 1);
            }
            if (mRandom.nextInt(4) == 0) {
                cancelAny();
            }
        }

        private boolean isOverdue() {
            return !mCancelled
                    && mDecisions == 0
                    && mNowMilliseconds > mReservedMilliseconds + BOUND_MILLISECONDS;
        }
    }

    private record Delivery(long atMilliseconds, Runnable message) {}

    private final Random mRandom;
    private final List<Call> mCalls = new ArrayList<>();
    private final Deque<Delivery> mUnderWay = new ArrayDeque<>();
    private final TokenGate mGate;
    private Optional<LimitOwnerDecider> mOwner = Optional.empty();
    private List<CustomerLimit> mLimits = List.of();
    private long mNowMilliseconds = 1_000;
    private long mWakeAtMilliseconds = Long.MAX_VALUE;
    private long mTerm;

    GateSchedule(long seed) {
        mRandom = new Random(seed);
        mGate =
                new TokenGate(
                        new LimitShareDecider(POLICY, mNowMilliseconds),
                        message -> send(() -> received(message)),
                        at -> mWakeAtMilliseconds = Math.max(mNowMilliseconds + 1, at),
                        nowMilliseconds -> 0);
    }

    /** Runs the schedule. Returns what was wrong, if anything was. */
    Optional<String> run(int steps) {
        changeLimits();
        newOwner();
        for (int step = 0; step < steps; step++) {
            act();
            advance(mRandom.nextInt(60));
            Optional<String> fault = fault();
            if (fault.isPresent()) {
                return fault;
            }
        }
        advance(2 * BOUND_MILLISECONDS);
        return fault();
    }

    private Optional<String> fault() {
        for (Call call : mCalls) {
            if (call.isOverdue() || call.mDecisions > 1) {
                return Optional.of(
                        "call of %d ms: %d decisions at %d ms"
                                .formatted(
                                        call.mReservedMilliseconds,
                                        call.mDecisions,
                                        mNowMilliseconds));
            }
        }
        return Optional.empty();
    }

    private void act() {
        switch (mRandom.nextInt(12)) {
            case 0 -> changeLimits();
            case 1 -> mOwner = Optional.empty();
            case 2 -> newOwner();
            case 3, 4 -> cancelAny();
            default -> reserve(0);
        }
    }

    private void reserve(int depth) {
        ObjectName customer = CUSTOMERS.get(mRandom.nextInt(CUSTOMERS.size()));
        if (mGate.isLimited(customer.value())) {
            Call call = new Call(depth);
            mCalls.add(call);
            call.mNumber =
                    mGate.reserve(
                            customer.value(), 1 + mRandom.nextInt(12_000), call, mNowMilliseconds);
        }
    }

    private void cancelAny() {
        if (!mCalls.isEmpty()) {
            Call call = mCalls.get(mRandom.nextInt(mCalls.size()));
            call.mCancelled = call.mNumber > 0;
            mGate.cancel(call.mNumber, mNowMilliseconds);
        }
    }

    /** Publishes other limits, without some of the customers. */
    private void changeLimits() {
        mLimits =
                CUSTOMERS.stream()
                        .filter(customer -> mRandom.nextInt(4) > 0)
                        .map(this::randomLimit)
                        .toList();
        mGate.updateLimits(mLimits, mNowMilliseconds);
        decide(new LimitOwnerMessage.LimitsPublished(mLimits));
    }

    private CustomerLimit randomLimit(ObjectName customer) {
        return new CustomerLimit(
                customer, 1 + mRandom.nextInt(40_000), 1 + mRandom.nextInt(60_000));
    }

    private void newOwner() {
        mTerm++;
        mOwner =
                Optional.of(
                        new LimitOwnerDecider(
                                POLICY,
                                mTerm,
                                LimitRegistry.empty().register(GATEWAY),
                                mNowMilliseconds));
        decide(new LimitOwnerMessage.LimitsPublished(mLimits));
        decide(new LimitOwnerMessage.RouterConnected(GATEWAY));
    }

    private void received(LimitMessage message) {
        decide(new LimitOwnerMessage.RouterMessageReceived(GATEWAY, message));
    }

    private void decide(LimitOwnerMessage message) {
        mOwner.ifPresent(
                owner -> List.copyOf(owner.decide(message, mNowMilliseconds)).forEach(this::apply));
    }

    private void apply(LimitOwnerEffect effect) {
        if (effect instanceof LimitOwnerEffect.Register register) {
            decide(new LimitOwnerMessage.RouterRegistered(register.router()));
        } else if (effect instanceof LimitOwnerEffect.Send send) {
            send(() -> mGate.receiveFromOwner(send.message(), mNowMilliseconds));
        } else if (effect instanceof LimitOwnerEffect.SendConfirmed send) {
            send(() -> mGate.receiveFromOwner(send.message(), mNowMilliseconds));
        }
    }

    /** Delivers a message later, or never. */
    private void send(Runnable message) {
        if (mRandom.nextInt(20) > 0) {
            mUnderWay.add(new Delivery(mNowMilliseconds + 1 + mRandom.nextInt(15), message));
        }
    }

    private void advance(long milliseconds) {
        long untilMilliseconds = mNowMilliseconds + milliseconds;
        while (mNowMilliseconds < untilMilliseconds) {
            mNowMilliseconds++;
            if (mNowMilliseconds >= mWakeAtMilliseconds) {
                mWakeAtMilliseconds = Long.MAX_VALUE;
                mGate.wake(mNowMilliseconds);
            }
            while (!mUnderWay.isEmpty() && mUnderWay.peek().atMilliseconds() <= mNowMilliseconds) {
                mUnderWay.poll().message().run();
            }
            if (mNowMilliseconds % 10 == 0) {
                decide(new LimitOwnerMessage.Wake());
            }
        }
    }
}
