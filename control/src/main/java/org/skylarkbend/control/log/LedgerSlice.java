package org.skylarkbend.control.log;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.forwarding.ledger.LedgerCodec;
import org.skylarkbend.forwarding.ledger.LedgerDecider;
import org.skylarkbend.forwarding.ledger.LedgerLimits;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.forwarding.ledger.LedgerSnapshot;

/** The call ledger as a slice of the replicated state. */
public final class LedgerSlice implements ReplicatedSlice {
    private final LedgerCodec mCodec = new LedgerCodec();
    private final LedgerLimits mLimits;
    private LedgerDecider mLedger;

    /** Creates a slice with an empty ledger. */
    public LedgerSlice(LedgerLimits limits) {
        mLimits = limits;
        mLedger = new LedgerDecider(limits, LedgerSnapshot.empty());
    }

    @Override
    public String name() {
        return LedgerMessage.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return mCodec.decode(payload)
                .flatMap(message -> applyRequest(message, proposedEpochMilliseconds));
    }

    @Override
    public byte[] snapshot() {
        return mCodec.encodeSnapshot(mLedger.snapshot());
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return mCodec.decodeSnapshot(snapshot).map(this::replace);
    }

    private Result<byte[]> applyRequest(LedgerMessage message, long nowEpochMilliseconds) {
        if (message instanceof LedgerMessage.Request request) {
            return Result.success(mCodec.encode(mLedger.apply(request, nowEpochMilliseconds)));
        }
        return Result.failure(ErrorKind.FRAME_INVALID, "unexpected ledger message type");
    }

    private Void replace(LedgerSnapshot snapshot) {
        mLedger = new LedgerDecider(mLimits, snapshot);
        return null;
    }
}
