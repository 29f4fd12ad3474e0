package org.skylarkbend.control.site;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * The data centres whose endpoints are to get no calls, as a slice of the replicated state.
 *
 * <p>It is left out of snapshots while no data centre is evacuated, so that members of a version
 * without it can restore them.
 */
public final class EvacuationsSlice implements ReplicatedSlice {
    /** The name of the slice in entries and snapshots. */
    public static final String NAME = "evacuations";

    private static final int EVACUATED = 1;
    private static final int WITHDRAWN = 2;
    private static final int ALL = 3;

    private final Consumer<Set<String>> mOnChange;
    private Set<String> mDataCentres = Set.of();

    /** A change of the state. */
    private record Change(int type, String dataCentre) {}

    /** Creates a slice without evacuations. The consumer gets all of them after each change. */
    public EvacuationsSlice(Consumer<Set<String>> onChange) {
        mOnChange = onChange;
    }

    /** Encodes an entry that evacuates a data centre. */
    public static byte[] encodeEvacuated(String dataCentre) {
        return new MessageWriter(EVACUATED).text(dataCentre).toBytes();
    }

    /** Encodes an entry that withdraws the evacuation of a data centre. */
    public static byte[] encodeWithdrawn(String dataCentre) {
        return new MessageWriter(WITHDRAWN).text(dataCentre).toBytes();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return MessageReader.decode(payload, EvacuationsSlice::readChange)
                .map(
                        change -> {
                            Set<String> next = new TreeSet<>(mDataCentres);
                            if (change.type() == EVACUATED) {
                                next.add(change.dataCentre());
                            } else {
                                next.remove(change.dataCentre());
                            }
                            replace(next);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return new MessageWriter(ALL)
                .list(List.copyOf(mDataCentres), MessageWriter::text)
                .toBytes();
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return MessageReader.decode(snapshot, EvacuationsSlice::readAll)
                .map(
                        dataCentres -> {
                            replace(dataCentres);
                            return null;
                        });
    }

    @Override
    public boolean isInitial() {
        return mDataCentres.isEmpty();
    }

    @Override
    public void reset() {
        replace(Set.of());
    }

    private void replace(Set<String> dataCentres) {
        if (!dataCentres.equals(mDataCentres)) {
            mDataCentres = Set.copyOf(dataCentres);
            mOnChange.accept(mDataCentres);
        }
    }

    private static Change readChange(MessageReader reader) {
        int type = reader.type();
        return type == EVACUATED || type == WITHDRAWN
                ? new Change(type, reader.text())
                : MessageReader.unknownType(type);
    }

    private static Set<String> readAll(MessageReader reader) {
        int type = reader.type();
        return type == ALL
                ? Set.copyOf(reader.list(MessageReader::text))
                : MessageReader.unknownType(type);
    }
}
