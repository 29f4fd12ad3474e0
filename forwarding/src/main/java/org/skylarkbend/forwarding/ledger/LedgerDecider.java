package org.skylarkbend.forwarding.ledger;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.forwarding.ledger.LedgerMessage.Request;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveResponse;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleResponse;

/**
 * Decides which calls may be sent, from committed requests in log order.
 *
 * <p>A call is reserved, ran, in doubt, not run, or unknown to the ledger. Only a call that is
 * unknown or that certainly did not run can be reserved. A record expires when it has not changed
 * for {@link LedgerLimits#retentionMilliseconds}; a resend after that runs the call again.
 *
 * <p>Not thread-safe: the records are confined to the task that applies the log, and all returned
 * objects are immutable.
 */
public final class LedgerDecider {
    private final LedgerLimits mLimits;
    private final Map<CallIdentity, CallRecord> mRecords = new LinkedHashMap<>();
    private long mNowEpochMilliseconds;

    /** Creates a ledger from a snapshot. */
    public LedgerDecider(LedgerLimits limits, LedgerSnapshot snapshot) {
        mLimits = limits;
        mNowEpochMilliseconds = snapshot.nowEpochMilliseconds();
        snapshot.records().forEach(callRecord -> mRecords.put(callRecord.call(), callRecord));
    }

    /**
     * Applies a committed request and returns the response to the router.
     *
     * @param request the request
     * @param nowEpochMilliseconds the time at which the leader accepted the request; the clock of
     *     the ledger never goes back
     */
    public LedgerMessage apply(Request request, long nowEpochMilliseconds) {
        mNowEpochMilliseconds = Math.max(mNowEpochMilliseconds, nowEpochMilliseconds);
        removeExpired();
        if (request instanceof ReserveCall reserve) {
            return reserve(reserve);
        }
        return settle((SettleCall) request);
    }

    /** Returns a snapshot of the current state. */
    public LedgerSnapshot snapshot() {
        return new LedgerSnapshot(mNowEpochMilliseconds, new ArrayList<>(mRecords.values()));
    }

    /** Returns the number of records. */
    public int recordCount() {
        return mRecords.size();
    }

    private ReserveResponse reserve(ReserveCall reserve) {
        CallRecord known = mRecords.get(reserve.call());
        if (known == null && mRecords.size() >= mLimits.maxRecords()) {
            return response(reserve, ReserveVerdict.LEDGER_FULL, 0);
        }
        if (known == null || canReserveAgain(known, reserve)) {
            put(recordOf(reserve));
            return response(reserve, ReserveVerdict.RESERVED, 0);
        }
        return responseFromRecord(known, reserve);
    }

    private ReserveResponse responseFromRecord(CallRecord known, ReserveCall reserve) {
        if (!known.requestDigest().equals(reserve.requestDigest())) {
            return response(reserve, ReserveVerdict.OTHER_REQUEST, 0);
        }
        if (known.ran()) {
            return response(reserve, ReserveVerdict.ALREADY_RAN, known.httpStatus());
        }
        boolean sameAttempt = known.reservationId().equals(reserve.reservationId());
        if (sameAttempt && known.outcome().isEmpty()) {
            return response(reserve, ReserveVerdict.RESERVED, 0);
        }
        return response(reserve, ReserveVerdict.IN_DOUBT, 0);
    }

    /**
     * Returns whether a call that did not run can be reserved again. A delayed duplicate of the
     * reservation that was settled as not run must not reserve the call again.
     */
    private static boolean canReserveAgain(CallRecord known, ReserveCall reserve) {
        return known.didNotRun() && !known.reservationId().equals(reserve.reservationId());
    }

    private SettleResponse settle(SettleCall settle) {
        CallRecord known = mRecords.get(settle.call());
        if (known == null || !known.reservationId().equals(settle.reservationId())) {
            return new SettleResponse(settle.reservationId(), false);
        }
        if (canChangeOutcome(known, settle.outcome())) {
            put(known.settled(settle.outcome(), settle.httpStatus(), mNowEpochMilliseconds));
        }
        return new SettleResponse(settle.reservationId(), true);
    }

    /**
     * Returns whether the outcome can still change: a certain outcome is final, one in doubt can
     * become certain.
     */
    private static boolean canChangeOutcome(CallRecord known, CallOutcome outcome) {
        Optional<CallOutcome> before = known.outcome();
        return before.isEmpty()
                || before.get() == CallOutcome.IN_DOUBT && outcome != CallOutcome.IN_DOUBT;
    }

    private CallRecord recordOf(ReserveCall reserve) {
        return new CallRecord(
                reserve.call(),
                reserve.reservationId(),
                reserve.requestDigest(),
                Optional.empty(),
                0,
                mNowEpochMilliseconds);
    }

    private void put(CallRecord callRecord) {
        mRecords.remove(callRecord.call());
        mRecords.put(callRecord.call(), callRecord);
    }

    private void removeExpired() {
        long oldestEpochMilliseconds = mNowEpochMilliseconds - mLimits.retentionMilliseconds();
        Iterator<CallRecord> records = mRecords.values().iterator();
        while (records.hasNext()) {
            if (records.next().changedEpochMilliseconds() > oldestEpochMilliseconds) {
                return;
            }
            records.remove();
        }
    }

    private static ReserveResponse response(
            ReserveCall reserve, ReserveVerdict verdict, int httpStatus) {
        return new ReserveResponse(reserve.reservationId(), verdict, httpStatus);
    }
}
