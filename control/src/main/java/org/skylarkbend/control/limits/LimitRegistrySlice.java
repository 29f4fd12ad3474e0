package org.skylarkbend.control.limits;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.limits.LimitRegistryChange.Register;
import org.skylarkbend.control.log.ControlChange;
import org.skylarkbend.control.log.ControlChange.LimitRegistryChanged;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.limits.LimitRegistry;

/** The registry of routers that may hold rate limit tokens, as a slice of the replicated state. */
public final class LimitRegistrySlice implements ReplicatedSlice {
    private final LimitRegistryCodec mCodec = new LimitRegistryCodec();
    private final Consumer<ControlChange> mOnChange;
    private LimitRegistry mRegistry = LimitRegistry.empty();

    /** Creates a slice with an empty registry. */
    public LimitRegistrySlice(Consumer<ControlChange> onChange) {
        mOnChange = onChange;
    }

    @Override
    public String name() {
        return LimitRegistryChange.SLICE;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return mCodec.decode(payload).map(this::apply);
    }

    @Override
    public byte[] snapshot() {
        return mCodec.encodeRegistry(mRegistry);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return mCodec.decodeRegistry(snapshot).map(this::replace);
    }

    private byte[] apply(LimitRegistryChange change) {
        replace(
                change instanceof Register
                        ? mRegistry.register(change.router())
                        : mRegistry.unregister(change.router()));
        return new byte[0];
    }

    private Void replace(LimitRegistry registry) {
        mRegistry = registry;
        mOnChange.accept(new LimitRegistryChanged(registry));
        return null;
    }
}
