package org.skylarkbend.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.forwarding.ledger.CallIdentity;
import org.skylarkbend.forwarding.ledger.CallOutcome;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveResponse;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleResponse;
import org.skylarkbend.router.Call;

/**
 * Client of the call ledger. It reserves a call before the call is sent to an endpoint, and reports
 * the outcome repeatedly until the ledger confirms it.
 *
 * <p>Messages can be lost with the connection to control, so they are resent with the same ID. A
 * reservation that receives no response in time is dropped and settled as not run. Confined to the
 * forwarding task.
 */
final class CallLedger {
    private static final long RESEND_INTERVAL_MILLISECONDS = 500;
    private static final long RESERVE_TIMEOUT_MILLISECONDS = 3_000;

    private final Consumer<LedgerMessage> mControl;
    private final Map<String, Reservation> mReservations = new LinkedHashMap<>();
    private final Map<String, Settlement> mSettlements = new LinkedHashMap<>();

    CallLedger(Consumer<LedgerMessage> control) {
        mControl = control;
    }

    /**
     * Returns whether the call must be reserved: it is not idempotent and has an idempotency key.
     */
    static boolean requiresReservation(Call call) {
        return !call.traits().idempotent() && call.idempotencyKey().isPresent();
    }

    /** Requests a reservation. The callback receives an error if the call must not be sent. */
    void reserve(Call call, long nowMilliseconds, Consumer<Optional<SkylarkError>> callback) {
        ReserveCall reserve = new ReserveCall(identityOf(call), call.id(), digestOf(call));
        mReservations.put(call.id(), new Reservation(reserve, nowMilliseconds, callback));
        mControl.accept(reserve);
    }

    /** Reports the outcome of a call. Calls that need no reservation are ignored. */
    void settle(Call call, CallOutcome outcome, int httpStatus, long nowMilliseconds) {
        if (requiresReservation(call)) {
            mReservations.remove(call.id());
            settle(
                    new SettleCall(identityOf(call), call.id(), outcome, httpStatus),
                    nowMilliseconds);
        }
    }

    void handle(LedgerMessage message, long nowMilliseconds) {
        if (message instanceof ReserveResponse response) {
            Reservation reservation = mReservations.remove(response.reservationId());
            if (reservation != null) {
                reservation.callback().accept(errorOf(response));
            }
        } else if (message instanceof SettleResponse response) {
            mSettlements.remove(response.reservationId());
        }
    }

    void checkTimeouts(long nowMilliseconds) {
        for (Reservation pending : new ArrayList<>(mReservations.values())) {
            long waitedMilliseconds = nowMilliseconds - pending.requestedMilliseconds();
            if (waitedMilliseconds > RESERVE_TIMEOUT_MILLISECONDS) {
                expire(pending, nowMilliseconds);
            } else if (waitedMilliseconds > RESEND_INTERVAL_MILLISECONDS) {
                mControl.accept(pending.reserve());
            }
        }
        for (Settlement pending : List.copyOf(mSettlements.values())) {
            if (nowMilliseconds - pending.sentMilliseconds() > RESEND_INTERVAL_MILLISECONDS) {
                settle(pending.settle(), nowMilliseconds);
            }
        }
    }

    private void expire(Reservation pending, long nowMilliseconds) {
        ReserveCall reserve = pending.reserve();
        mReservations.remove(reserve.reservationId());
        settle(
                new SettleCall(reserve.call(), reserve.reservationId(), CallOutcome.NOT_RUN, 0),
                nowMilliseconds);
        pending.callback()
                .accept(
                        Optional.of(
                                new SkylarkError(
                                        ErrorKind.NO_LEADER,
                                        "the call ledger did not respond in time")));
    }

    private void settle(SettleCall settle, long nowMilliseconds) {
        mSettlements.put(settle.reservationId(), new Settlement(settle, nowMilliseconds));
        mControl.accept(settle);
    }

    private static Optional<SkylarkError> errorOf(ReserveResponse response) {
        return response.verdict()
                .errorKind()
                .map(kind -> new SkylarkError(kind, detailOf(response)));
    }

    private static String detailOf(ReserveResponse response) {
        return switch (response.verdict()) {
            case ALREADY_RAN ->
                    "the call has already run and returned status " + response.httpStatus();
            case OTHER_REQUEST -> "the idempotency key was already used for a different request";
            case LEDGER_FULL -> "the call ledger is full";
            default -> "a call with this idempotency key is running or its outcome is unknown";
        };
    }

    private static CallIdentity identityOf(Call call) {
        return new CallIdentity(
                call.customerName(),
                call.grant().route().name(),
                call.idempotencyKey().orElseThrow());
    }

    private static String digestOf(Call call) {
        String head = call.method() + "\n" + call.uri() + "\n";
        byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[headBytes.length + call.body().length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(call.body(), 0, all, headBytes.length, call.body().length);
        return Sha256.hexOf(all);
    }

    /** A pending reservation request. */
    private record Reservation(
            ReserveCall reserve,
            long requestedMilliseconds,
            Consumer<Optional<SkylarkError>> callback) {}

    /** A settlement that the ledger has not confirmed yet. */
    private record Settlement(SettleCall settle, long sentMilliseconds) {}
}
