package org.skylarkbend.gateway.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.LimitShareEffect;
import org.skylarkbend.limits.LimitShareInbox;
import org.skylarkbend.limits.LimitShareMessage;

/**
 * Admits calls of customers with a rate limit while this gateway holds tokens for them.
 *
 * <p>The tokens of a call are spent when it is admitted. The gate is confined to the task that
 * serves the calls.
 */
public final class TokenGate {
    private static final StructuredLog LOG = StructuredLog.of(TokenGate.class);

    /**
     * Receives the decision on a call. Exactly one method is called, once, possibly before {@link
     * #reserve} returns, unless the call is cancelled first.
     */
    public interface Caller {
        /** Called when the call is admitted. */
        void admitted();

        /** Called when the customer has no tokens for the call. */
        void refused(long retryAfterMilliseconds);
    }

    /**
     * Retry delay for a call that needs more tokens than a gateway may hold at once. It waits for a
     * change of the limit, not for tokens.
     */
    private static final long TOO_LARGE_RETRY_MILLISECONDS = 2_000;

    /** Call that was neither admitted nor refused yet. */
    private record PendingCall(Caller caller, long tokens) {}

    private final LimitShareInbox mInbox;
    private final Consumer<LimitMessage> mLimitOwner;
    private final LongConsumer mWakeAt;
    private final LongUnaryOperator mSuspendedMilliseconds;
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private Set<ObjectName> mLimitedCustomers = Set.of();
    private long mLastNumber;

    /**
     * Creates a gate without tokens.
     *
     * @param decider decides on the tokens of this gateway
     * @param owner sends a message to the limit owner
     * @param wakeAt requests a call of {@link #wake} at a time
     * @param suspendedMilliseconds returns, at a time, for how long the VM was suspended since the
     *     last call without the clock counting it
     */
    public TokenGate(
            LimitShareDecider decider,
            Consumer<LimitMessage> owner,
            LongConsumer wakeAt,
            LongUnaryOperator suspendedMilliseconds) {
        mInbox = new LimitShareInbox(decider, this::apply);
        mLimitOwner = owner;
        mWakeAt = wakeAt;
        mSuspendedMilliseconds = suspendedMilliseconds;
    }

    /** Applies the limits of a new catalog. */
    public void updateLimits(List<CustomerLimit> limits, long nowMilliseconds) {
        mLimitedCustomers =
                limits.stream().map(CustomerLimit::customer).collect(Collectors.toSet());
        handle(new LimitShareMessage.LimitsPublished(limits), nowMilliseconds);
    }

    /** Returns whether a customer has a rate limit. */
    public boolean isLimited(String customer) {
        return ObjectName.isValid(customer) && mLimitedCustomers.contains(ObjectName.of(customer));
    }

    /**
     * Reserves the tokens of a call. Returns the number by which the reservation can be cancelled.
     */
    public long reserve(String customer, long tokens, Caller caller, long nowMilliseconds) {
        long number = ++mLastNumber;
        mPendingCalls.put(number, new PendingCall(caller, tokens));
        handle(
                new LimitShareMessage.Reserve(number, ObjectName.of(customer), tokens),
                nowMilliseconds);
        return number;
    }

    /** Cancels the reservation of a call that may still be waiting. */
    public void cancel(long number, long nowMilliseconds) {
        if (mPendingCalls.remove(number) != null) {
            handle(new LimitShareMessage.Release(number), nowMilliseconds);
        }
    }

    /** Handles a message from the limit owner. */
    public void receiveFromOwner(LimitMessage message, long nowMilliseconds) {
        handle(new LimitShareMessage.OwnerMessageReceived(message), nowMilliseconds);
    }

    /** Handles the timer that was requested through {@code wakeAt}. */
    public void wake(long nowMilliseconds) {
        handle(new LimitShareMessage.Wake(), nowMilliseconds);
    }

    /** Returns all tokens that no call needs. */
    public void shutDown(long nowMilliseconds) {
        handle(new LimitShareMessage.ShutDown(), nowMilliseconds);
    }

    private void handle(LimitShareMessage message, long nowMilliseconds) {
        long suspendedMilliseconds = mSuspendedMilliseconds.applyAsLong(nowMilliseconds);
        if (suspendedMilliseconds > 0) {
            mInbox.handle(new LimitShareMessage.Suspended(suspendedMilliseconds), nowMilliseconds);
        }
        mInbox.handle(message, nowMilliseconds);
    }

    private void apply(LimitShareEffect effect, long nowMilliseconds) {
        if (effect instanceof LimitShareEffect.Admit admit) {
            admit(admit.callId(), nowMilliseconds);
        } else if (effect instanceof LimitShareEffect.Refuse refuse) {
            refuse(refuse.callId(), refuse.retryAfterMilliseconds());
        } else if (effect instanceof LimitShareEffect.RefuseTooLarge refuse) {
            refuse(refuse.callId(), TOO_LARGE_RETRY_MILLISECONDS);
        } else if (effect instanceof LimitShareEffect.SendToOwner send) {
            mLimitOwner.accept(send.message());
        } else if (effect instanceof LimitShareEffect.Lapsed lapsed) {
            LOG.warn("limits.tokens.lapsed", "tokens", lapsed.tokens());
        } else if (effect instanceof LimitShareEffect.WakeAt wake) {
            mWakeAt.accept(wake.atMilliseconds());
        }
    }

    private void admit(long number, long nowMilliseconds) {
        PendingCall call = mPendingCalls.remove(number);
        if (call != null) {
            handle(new LimitShareMessage.Spend(number, call.tokens()), nowMilliseconds);
        }
        handle(new LimitShareMessage.Release(number), nowMilliseconds);
        if (call != null) {
            call.caller().admitted();
        }
    }

    private void refuse(long number, long retryAfterMilliseconds) {
        PendingCall call = mPendingCalls.remove(number);
        if (call != null) {
            call.caller().refused(retryAfterMilliseconds);
        }
    }
}
