package org.skylarkbend.control.log;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.log.ControlChange.PublishingChanged;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.PublishingCodec;
import org.skylarkbend.publishing.PublishingDecider;
import org.skylarkbend.publishing.PublishingMessage;
import org.skylarkbend.publishing.PublishingMessage.Publish;
import org.skylarkbend.publishing.PublishingState;
import org.skylarkbend.publishing.PublishingTransition;
import org.skylarkbend.publishing.SetReader;

/** The published sets as a slice of the replicated state. */
public final class PublishingSlice implements ReplicatedSlice {
    private static final StructuredLog LOG = StructuredLog.of(PublishingSlice.class);

    private final PublishingCodec mCodec = new PublishingCodec();
    private final Consumer<ControlChange> mOnChange;
    private PublishedSet mSet = PublishedSet.empty();
    private PublishingState mState = PublishingState.empty();

    /** Creates a slice without a published set. */
    public PublishingSlice(Consumer<ControlChange> onChange) {
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return PublishingMessage.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return mCodec.decode(payload).map(message -> apply((Publish) message));
    }

    @Override
    public byte[] snapshot() {
        return mCodec.encodeState(mState);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return mCodec.decodeState(snapshot).map(this::replace);
    }

    private byte[] apply(Publish publish) {
        PublishingTransition transition = PublishingDecider.apply(mState, publish);
        replace(transition.state());
        return mCodec.encodeResult(transition.result());
    }

    private Void replace(PublishingState state) {
        if (state.revision() != mState.revision()) {
            mSet = read(state);
        }
        mState = state;
        mOnChange.accept(new PublishingChanged(state, mSet));
        return null;
    }

    /**
     * Parses a published set. It was validated when it was published, but an older version of the
     * program may not be able to read it and then uses the empty set.
     */
    private static PublishedSet read(PublishingState state) {
        return SetReader.readText("revision-" + state.revision(), state.yaml())
                .fold(
                        set -> set,
                        error -> {
                            LOG.warn("control.set.unreadable", "detail", error.detail());
                            return PublishedSet.empty();
                        });
    }
}
