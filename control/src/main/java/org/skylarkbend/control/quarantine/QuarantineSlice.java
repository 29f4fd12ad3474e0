package org.skylarkbend.control.quarantine;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.quarantine.QuarantineCodec;
import org.skylarkbend.quarantine.QuarantineState;

/** The quarantined parts as a slice of the replicated state. */
public final class QuarantineSlice implements ReplicatedSlice {
    private final Consumer<QuarantineState> mOnChange;
    private QuarantineState mState = QuarantineState.empty();

    /** Creates a slice without parts. The consumer gets the state after each change. */
    public QuarantineSlice(Consumer<QuarantineState> onChange) {
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return QuarantineCodec.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return QuarantineCodec.decode(payload)
                .map(
                        message -> {
                            replace(mState.after(message, proposedEpochMilliseconds));
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return QuarantineCodec.encodeState(mState);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return QuarantineCodec.decodeState(snapshot).map(this::replace);
    }

    private Void replace(QuarantineState state) {
        if (!state.equals(mState)) {
            mState = state;
            mOnChange.accept(state);
        }
        return null;
    }
}
