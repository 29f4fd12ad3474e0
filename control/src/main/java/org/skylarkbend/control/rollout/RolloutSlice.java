package org.skylarkbend.control.rollout;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutState;

/** The rollouts as a slice of the replicated state. */
public final class RolloutSlice implements ReplicatedSlice {
    private final Consumer<RolloutState> mOnChange;
    private RolloutState mState = RolloutState.empty();

    /** Creates a slice without rollouts. The consumer gets the state after each change. */
    public RolloutSlice(Consumer<RolloutState> onChange) {
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return RolloutCodec.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return RolloutCodec.decode(payload)
                .flatMap(message -> mState.after(message, proposedEpochMilliseconds))
                .map(
                        state -> {
                            replace(state);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return RolloutCodec.encodeState(mState);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return RolloutCodec.decodeState(snapshot).map(this::replace);
    }

    private Void replace(RolloutState state) {
        if (!state.equals(mState)) {
            mState = state;
            mOnChange.accept(state);
        }
        return null;
    }
}
