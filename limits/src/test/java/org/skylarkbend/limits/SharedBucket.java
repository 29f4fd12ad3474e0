package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitOwnerEffect.Register;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareMessage.OwnerMessageReceived;
import org.skylarkbend.limits.LimitShareMessage.Release;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.skylarkbend.limits.LimitShareMessage.Spend;

/**
 * The deciders of an owner and of several routers, connected by a network that delays messages but
 * loses none.
 */
final class SharedBucket {
    private static final long ONE_WAY_MILLISECONDS = 1;
    private static final long CONFIRM_MILLISECONDS = 2;
    private static final LimitCodec CODEC = new LimitCodec();

    private final EventTimeline mTimeline;
    private final CustomerLimit mLimit;
    private final LimitOwnerDecider mOwner;
    private final List<LimitShareDecider> mRouters = new ArrayList<>();
    private final Map<Long, SimulatedCall> mCalls = new HashMap<>();
    private final Map<Integer, Long> mWakes = new HashMap<>();
    private final Set<Long> mAdmitted = new HashSet<>();
    private long mMessages;
    private long mBytes;

    SharedBucket(EventTimeline timeline, CustomerLimit limit, LimitPolicy policy, int routerCount) {
        mTimeline = timeline;
        mLimit = limit;
        mOwner = new LimitOwnerDecider(policy, 1, LimitRegistry.empty(), 0);
        List<CustomerLimit> limits = List.of(limit);
        owner(new LimitOwnerMessage.LimitsPublished(limits));
        for (int i = 0; i < routerCount; i++) {
            mRouters.add(new LimitShareDecider(policy, 0));
            router(i, new LimitShareMessage.LimitsPublished(limits));
        }
    }

    Set<Long> admitted() {
        return mAdmitted;
    }

    long messages() {
        return mMessages;
    }

    long bytes() {
        return mBytes;
    }

    void arrive(SimulatedCall call) {
        mCalls.put(call.id(), call);
        router(call.router(), new Reserve(call.id(), mLimit.customer(), call.reservedTokens()));
    }

    private void router(int index, LimitShareMessage message) {
        for (LimitShareEffect effect : mRouters.get(index).decide(message, mTimeline.now())) {
            if (effect instanceof Admit admit) {
                run(index, mCalls.get(admit.callId()));
            } else if (effect instanceof SendToOwner send) {
                count(send.message());
                RouterMessageReceived received =
                        new RouterMessageReceived(identity(index), send.message());
                mTimeline.at(mTimeline.now() + ONE_WAY_MILLISECONDS, () -> owner(received));
            } else if (effect instanceof LimitShareEffect.WakeAt wake) {
                wake(index, wake.atMilliseconds());
            }
        }
    }

    private void run(int index, SimulatedCall call) {
        mAdmitted.add(call.id());
        long promptEnd = mTimeline.now() + call.promptMilliseconds();
        long end = promptEnd + call.responseMilliseconds();
        mTimeline.at(promptEnd, () -> router(index, new Spend(call.id(), call.promptTokens())));
        mTimeline.at(end, () -> router(index, new Spend(call.id(), call.answerTokens())));
        mTimeline.at(end, () -> router(index, new Release(call.id())));
    }

    private void wake(int index, long atMilliseconds) {
        mWakes.put(index, atMilliseconds);
        mTimeline.at(
                Math.max(atMilliseconds, mTimeline.now() + 1),
                () -> {
                    if (mWakes.get(index) == atMilliseconds) {
                        router(index, new LimitShareMessage.Wake());
                    }
                });
    }

    private void owner(LimitOwnerMessage message) {
        for (LimitOwnerEffect effect : mOwner.decide(message, mTimeline.now())) {
            if (effect instanceof Send send) {
                toRouter(send.router(), send.message(), 0);
            } else if (effect instanceof SendConfirmed send) {
                toRouter(send.router(), send.message(), CONFIRM_MILLISECONDS);
            } else if (effect instanceof Register register) {
                owner(new RouterRegistered(register.router()));
            } else if (effect instanceof LimitOwnerEffect.WakeAt wake) {
                wake(-1, wake);
            }
        }
    }

    private void wake(int ownerIndex, LimitOwnerEffect.WakeAt wake) {
        mWakes.put(ownerIndex, wake.atMilliseconds());
        mTimeline.at(
                wake.atMilliseconds(),
                () -> {
                    if (mWakes.get(ownerIndex) == wake.atMilliseconds()) {
                        owner(new LimitOwnerMessage.Wake());
                    }
                });
    }

    private void toRouter(RouterIdentity router, LimitMessage message, long afterMilliseconds) {
        count(message);
        int index = Integer.parseInt(router.vm().value());
        mTimeline.at(
                mTimeline.now() + ONE_WAY_MILLISECONDS + afterMilliseconds,
                () -> router(index, new OwnerMessageReceived(message)));
    }

    private void count(LimitMessage message) {
        mMessages++;
        mBytes += CODEC.encode(message).length;
    }

    private static RouterIdentity identity(int index) {
        return new RouterIdentity(ObjectName.of(Integer.toString(index)), 1);
    }
}
