package org.skylarkbend.control.log;

import java.util.function.Consumer;
import java.util.function.Function;
import org.skylarkbend.base.Result;

/**
 * Slice whose state is an immutable value.
 *
 * @param <S> type of the state
 */
public final class ValueSlice<S> implements ReplicatedSlice {
    /**
     * Returns the state after a message of the log.
     *
     * @param <S> type of the state
     */
    @FunctionalInterface
    public interface Transition<S> {
        /** Applies an encoded message; fails if it cannot be decoded or contradicts the state. */
        Result<S> after(S state, byte[] payload, long proposedEpochMilliseconds);
    }

    /**
     * Encoding of a state in snapshots.
     *
     * @param <S> type of the state
     */
    public record Encoding<S>(Function<S, byte[]> encode, Function<byte[], Result<S>> decode) {}

    private final String mName;
    private final Transition<S> mTransition;
    private final Encoding<S> mEncoding;
    private final Consumer<S> mOnChange;
    private S mState;

    /**
     * Creates a slice.
     *
     * @param name name of the slice in entries and snapshots
     * @param initial state before any message
     * @param transition applies the messages of the log
     * @param encoding encoding of the state in snapshots
     * @param onChange receives the state after each change
     */
    public ValueSlice(
            String name,
            S initial,
            Transition<S> transition,
            Encoding<S> encoding,
            Consumer<S> onChange) {
        mName = name;
        mState = initial;
        mTransition = transition;
        mEncoding = encoding;
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return mTransition
                .after(mState, payload, proposedEpochMilliseconds)
                .map(
                        state -> {
                            replace(state);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return mEncoding.encode().apply(mState);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return mEncoding.decode().apply(snapshot).map(this::replace);
    }

    private Void replace(S state) {
        if (!state.equals(mState)) {
            mState = state;
            mOnChange.accept(state);
        }
        return null;
    }
}
