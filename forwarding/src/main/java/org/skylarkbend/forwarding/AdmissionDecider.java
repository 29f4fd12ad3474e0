package org.skylarkbend.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.forwarding.AdmissionMessage.CallArrived;
import org.skylarkbend.forwarding.AdmissionMessage.Cancelled;
import org.skylarkbend.forwarding.AdmissionMessage.Finished;
import org.skylarkbend.forwarding.AdmissionMessage.SlotsChanged;

/**
 * Decides the order in which the calls of one pool are served, and which calls are refused early.
 *
 * <p>The call with the lowest effective priority value is served first. This value decreases while
 * a call waits, so no call starves. Customers with calls of the same effective priority share the
 * slots by weight through start-time fair queueing, and the calls of one customer are served in
 * order of arrival. Calls close to their deadline come before all others, ordered by deadline. A
 * call is refused on arrival if its queue is full or if the calls ahead of it would take longer
 * than its deadline.
 *
 * <p>Not thread-safe: an instance is confined to one task.
 */
public final class AdmissionDecider {
    private static final double MEAN_SMOOTHING_FACTOR = 0.1;

    private final AdmissionLimits mLimits;
    private final Map<String, WaitingCall> mWaiting = new LinkedHashMap<>();
    private final Set<String> mInService = new HashSet<>();
    private final Map<Optional<ObjectName>, Double> mFinishTagByCustomer = new HashMap<>();
    private double mVirtualTime;
    private double mMeanServiceMilliseconds;
    private int mSlots;

    /** Creates an empty queue. No call starts until slots are set. */
    public AdmissionDecider(AdmissionLimits limits) {
        mLimits = limits;
    }

    /** Applies one message and returns the calls to start and to refuse. */
    public List<AdmissionEffect> decide(AdmissionMessage message, long nowMilliseconds) {
        List<AdmissionEffect> effects = new ArrayList<>();
        if (message instanceof CallArrived arrived) {
            arrive(arrived, nowMilliseconds, effects);
        } else if (message instanceof Finished finished) {
            finish(finished);
        } else if (message instanceof Cancelled cancelled) {
            mWaiting.remove(cancelled.call());
        } else if (message instanceof SlotsChanged changed) {
            mSlots = changed.slots();
        }
        refuseExpired(nowMilliseconds, effects);
        startNext(nowMilliseconds, effects);
        return effects;
    }

    /** Returns the number of waiting calls. */
    public int waitingCalls() {
        return mWaiting.size();
    }

    /** Returns the number of calls in service. */
    public int callsInService() {
        return mInService.size();
    }

    private void arrive(CallArrived arrived, long nowMilliseconds, List<AdmissionEffect> effects) {
        Optional<String> refusal = refusalOf(arrived, nowMilliseconds);
        if (refusal.isPresent()) {
            long retryAfterMilliseconds = (long) Math.ceil(Math.max(mMeanServiceMilliseconds, 1));
            effects.add(
                    new AdmissionEffect.Refuse(
                            arrived.call(), refusal.get(), retryAfterMilliseconds));
        } else {
            mWaiting.put(arrived.call(), new WaitingCall(arrived, nowMilliseconds));
        }
    }

    private Optional<String> refusalOf(CallArrived arrived, long nowMilliseconds) {
        int samePriority = 0;
        int sameCustomer = 0;
        int ahead = 0;
        for (WaitingCall waiting : mWaiting.values()) {
            boolean same = waiting.call().priority() == arrived.priority();
            samePriority += same ? 1 : 0;
            sameCustomer += same && waiting.call().customer().equals(arrived.customer()) ? 1 : 0;
            ahead += waiting.effectivePriorityAt(nowMilliseconds) <= arrived.priority() ? 1 : 0;
        }
        if (samePriority >= mLimits.maxWaitingPerPriority()) {
            return Optional.of("the queue of this priority is full");
        }
        if (sameCustomer >= mLimits.maxWaitingPerCustomer()) {
            return Optional.of("the customer has too many waiting calls");
        }
        double expectedMilliseconds = expectedWaitMilliseconds(ahead);
        if (expectedMilliseconds > arrived.deadlineMilliseconds()) {
            return Optional.of("the expected wait exceeds the deadline of the route");
        }
        return Optional.empty();
    }

    private double expectedWaitMilliseconds(int ahead) {
        if (mSlots == 0 || mInService.size() + ahead < mSlots) {
            return 0;
        }
        return (ahead + 1) * mMeanServiceMilliseconds / mSlots;
    }

    private void finish(Finished finished) {
        if (mInService.remove(finished.call())) {
            double factor = mMeanServiceMilliseconds == 0 ? 1 : MEAN_SMOOTHING_FACTOR;
            mMeanServiceMilliseconds +=
                    factor * (finished.serviceMilliseconds() - mMeanServiceMilliseconds);
        }
        if (mInService.isEmpty() && mWaiting.isEmpty()) {
            mFinishTagByCustomer.clear();
            mVirtualTime = 0;
        }
    }

    private void refuseExpired(long nowMilliseconds, List<AdmissionEffect> effects) {
        for (WaitingCall waiting : List.copyOf(mWaiting.values())) {
            if (waiting.startByMilliseconds() <= nowMilliseconds) {
                String call = waiting.call().call();
                mWaiting.remove(call);
                effects.add(
                        new AdmissionEffect.Refuse(call, "the deadline expired in the queue", 1));
            }
        }
    }

    private void startNext(long nowMilliseconds, List<AdmissionEffect> effects) {
        while (mInService.size() < mSlots && !mWaiting.isEmpty()) {
            WaitingCall next = first(nowMilliseconds);
            mWaiting.remove(next.call().call());
            mInService.add(next.call().call());
            charge(next.call());
            effects.add(new AdmissionEffect.Start(next.call().call()));
        }
    }

    private WaitingCall first(long nowMilliseconds) {
        Comparator<WaitingCall> byEffectivePriority =
                Comparator.comparingInt(waiting -> waiting.effectivePriorityAt(nowMilliseconds));
        return mWaiting.values().stream()
                .min(
                        byEffectivePriority
                                .thenComparingDouble(waiting -> tieBreak(waiting, nowMilliseconds))
                                .thenComparingLong(WaitingCall::arrivedMilliseconds))
                .orElseThrow();
    }

    private double tieBreak(WaitingCall waiting, long nowMilliseconds) {
        return waiting.effectivePriorityAt(nowMilliseconds) == WaitingCall.URGENT_PRIORITY
                ? waiting.startByMilliseconds()
                : startTagOf(waiting.call().customer());
    }

    private double startTagOf(Optional<ObjectName> customer) {
        return Math.max(mVirtualTime, mFinishTagByCustomer.getOrDefault(customer, 0.0));
    }

    private void charge(CallArrived call) {
        double startTag = startTagOf(call.customer());
        mVirtualTime = startTag;
        mFinishTagByCustomer.put(call.customer(), startTag + 1.0 / call.weight());
    }
}
