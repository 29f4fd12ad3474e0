package org.skylarkbend.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.LimitShareEffect;
import org.skylarkbend.limits.LimitShareMessage;
import org.skylarkbend.publishing.Customer;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.Rate;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.ChatCall;

/**
 * Applies the customers' token rate limits to engine calls before they are admitted.
 *
 * <p>A call reserves the tokens of its prompt and of the longest possible response, reports its
 * actual usage, and releases the rest. Calls are refused until the first message of a limit owner,
 * because the remaining burst is unknown before that. Confined to the forwarding task.
 */
final class CallLimits {
    private static final long OWNER_RETRY_MILLISECONDS = 1_000;

    /** Callback that refuses a call before it runs. */
    @FunctionalInterface
    interface Refusal {
        void refuse(Call call, SkylarkError error, long retryAfterMilliseconds);
    }

    /** A token reservation, granted or pending, and the tokens used so far. */
    private record Reservation(long number, Call call, long usedTokens) {}

    private final LimitShareDecider mDecider;
    private final Consumer<LimitMessage> mOwner;
    private final Consumer<Call> mAdmitted;
    private final Refusal mRefused;
    private final LongConsumer mWakeAt;
    private final Map<Long, String> mCallsByNumber = new HashMap<>();
    private final Map<String, Reservation> mReservations = new HashMap<>();
    private long mLastNumber;
    private boolean mOwnerAvailable;

    CallLimits(
            LimitShareDecider decider,
            Consumer<LimitMessage> owner,
            Consumer<Call> admitted,
            Refusal refused,
            LongConsumer wakeAt) {
        mDecider = decider;
        mOwner = owner;
        mAdmitted = admitted;
        mRefused = refused;
        mWakeAt = wakeAt;
    }

    /** Returns whether the call is subject to a customer's token rate limit. */
    boolean limits(Call call) {
        return call.chat().isPresent() && call.customerName().isPresent();
    }

    void reserve(Call call, long nowMilliseconds) {
        if (!mOwnerAvailable) {
            String detail = "this router has not received a message from a limit owner yet";
            SkylarkError error = new SkylarkError(ErrorKind.ROUTER_STALE, detail);
            mRefused.refuse(call, error, OWNER_RETRY_MILLISECONDS);
            return;
        }
        ChatCall chat = call.chat().orElseThrow();
        long number = ++mLastNumber;
        mCallsByNumber.put(number, call.id());
        mReservations.put(call.id(), new Reservation(number, call, 0));
        long tokens = chat.promptTokens() + chat.maxResponseTokens();
        handle(
                new LimitShareMessage.Reserve(number, call.customerName().orElseThrow(), tokens),
                nowMilliseconds);
    }

    /** Records the total number of tokens that the call has used so far. */
    void recordUsage(String call, long tokens, long nowMilliseconds) {
        Reservation reservation = mReservations.get(call);
        if (reservation != null && tokens > reservation.usedTokens()) {
            mReservations.put(
                    call, new Reservation(reservation.number(), reservation.call(), tokens));
            handle(
                    new LimitShareMessage.Spend(
                            reservation.number(), tokens - reservation.usedTokens()),
                    nowMilliseconds);
        }
    }

    /** Releases the reservation of a call that ended or was aborted. */
    void release(String call, long nowMilliseconds) {
        Reservation reservation = mReservations.remove(call);
        if (reservation != null) {
            mCallsByNumber.remove(reservation.number());
            handle(new LimitShareMessage.Release(reservation.number()), nowMilliseconds);
        }
    }

    void handleOwnerMessage(LimitMessage message, long nowMilliseconds) {
        mOwnerAvailable = true;
        handle(new LimitShareMessage.OwnerMessageReceived(message), nowMilliseconds);
    }

    void applyLimits(PublishedSet set, long nowMilliseconds) {
        List<CustomerLimit> limits =
                set.customers().values().stream().map(c -> limitOf(set, c)).toList();
        handle(new LimitShareMessage.LimitsPublished(limits), nowMilliseconds);
    }

    void wake(long nowMilliseconds) {
        handle(new LimitShareMessage.Wake(), nowMilliseconds);
    }

    /** Returns all unused tokens to the limit owner. */
    void releaseUnused(long nowMilliseconds) {
        handle(new LimitShareMessage.ShutDown(), nowMilliseconds);
    }

    private void handle(LimitShareMessage message, long nowMilliseconds) {
        List.copyOf(mDecider.decide(message, nowMilliseconds)).forEach(this::execute);
    }

    private void execute(LimitShareEffect effect) {
        if (effect instanceof LimitShareEffect.Admit admit) {
            Reservation reservation = mReservations.get(mCallsByNumber.get(admit.callId()));
            mAdmitted.accept(reservation.call());
        } else if (effect instanceof LimitShareEffect.Refuse refuse) {
            String detail = "the customer's token rate limit is exceeded";
            SkylarkError error = new SkylarkError(ErrorKind.RATE_EXCEEDED, detail);
            refuse(refuse.callId(), error, refuse.retryAfterMilliseconds());
        } else if (effect instanceof LimitShareEffect.RefuseTooLarge refuse) {
            String detail = "prompt and response may use " + refuse.maxTokens() + " tokens at most";
            refuse(refuse.callId(), new SkylarkError(ErrorKind.BAD_REQUEST, detail), 0);
        } else if (effect instanceof LimitShareEffect.SendToOwner send) {
            mOwner.accept(send.message());
        } else if (effect instanceof LimitShareEffect.WakeAt wake) {
            mWakeAt.accept(wake.atMilliseconds());
        }
    }

    private void refuse(long number, SkylarkError error, long retryAfterMilliseconds) {
        Reservation reservation = mReservations.remove(mCallsByNumber.remove(number));
        mRefused.refuse(reservation.call(), error, retryAfterMilliseconds);
    }

    private static CustomerLimit limitOf(PublishedSet set, Customer customer) {
        Rate rate = set.rates().get(customer.rate());
        return new CustomerLimit(customer.name(), rate.tokensPerSecond(), rate.burstTokens());
    }
}
