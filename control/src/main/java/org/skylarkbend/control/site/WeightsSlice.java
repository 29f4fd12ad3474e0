package org.skylarkbend.control.site;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** The latest weights version of each model, as a slice of the replicated state. */
public final class WeightsSlice implements ReplicatedSlice {
    /** The name of the slice in entries and snapshots. */
    public static final String NAME = "weights";

    private static final int VERSIONS = 1;

    private final Consumer<Map<String, Long>> mOnChange;
    private Map<String, Long> mVersions = Map.of();

    /** Creates a slice without versions. The consumer gets all versions after each change. */
    public WeightsSlice(Consumer<Map<String, Long>> onChange) {
        mOnChange = onChange;
    }

    /** Encodes an entry that sets the latest weights versions of models. */
    public static byte[] encode(Map<String, Long> versions) {
        MessageWriter writer = new MessageWriter(VERSIONS);
        SiteCodec.writeVersions(writer, versions);
        return writer.toBytes();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return decode(payload).map(this::accept);
    }

    @Override
    public byte[] snapshot() {
        return encode(mVersions);
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return decode(snapshot).map(this::replace);
    }

    private byte[] accept(Map<String, Long> newVersions) {
        Map<String, Long> versions = new HashMap<>(mVersions);
        newVersions.forEach((model, version) -> versions.merge(model, version, Math::max));
        if (!versions.equals(mVersions)) {
            replace(versions);
        }
        return new byte[0];
    }

    private Void replace(Map<String, Long> versions) {
        mVersions = Map.copyOf(versions);
        mOnChange.accept(mVersions);
        return null;
    }

    private static Result<Map<String, Long>> decode(byte[] payload) {
        return MessageReader.decode(payload, WeightsSlice::read);
    }

    private static Map<String, Long> read(MessageReader reader) {
        int type = reader.type();
        if (type != VERSIONS) {
            return MessageReader.unknownType(type);
        }
        return SiteCodec.readVersions(reader);
    }
}
