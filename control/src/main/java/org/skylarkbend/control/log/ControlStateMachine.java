package org.skylarkbend.control.log;

import com.codahale.metrics.Counter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * The replicated state machine of the control process, composed of one state machine per slice.
 *
 * <p>Confined to the context that applies the log. An entry that no slice can apply is rejected
 * without a state change, identically on every member.
 */
public final class ControlStateMachine {
    private static final StructuredLog LOG = StructuredLog.of(ControlStateMachine.class);
    private static final int SNAPSHOT = 1;
    private static final int SUCCEEDED = 1;
    private static final int FAILED = 2;

    private final Map<String, ReplicatedSlice> mSlices = new LinkedHashMap<>();
    private final Counter mUnreadable;

    /**
     * Creates a state machine.
     *
     * @param slices its slices, which snapshots list in the given order
     * @param unreadable counts committed entries that cannot be decoded
     */
    public ControlStateMachine(List<ReplicatedSlice> slices, Counter unreadable) {
        mUnreadable = unreadable;
        slices.forEach(slice -> mSlices.put(slice.name(), slice));
    }

    /**
     * Applies a committed entry and returns the encoded result, which {@link #decodeResult}
     * decodes.
     */
    public byte[] apply(byte[] command) {
        Result<byte[]> result = ControlEntry.fromBytes(command).flatMap(this::applyEntry);
        result.match(ignored -> {}, this::checkReadable);
        return encodeResult(result);
    }

    private void checkReadable(SkylarkError error) {
        if (error.kind() == ErrorKind.FRAME_INVALID) {
            mUnreadable.inc();
            LOG.warn("control.entry.unreadable", "detail", error.detail());
        }
    }

    /** Returns the encoded states of all slices but those that are still initial. */
    public byte[] snapshot() {
        List<ReplicatedSlice> slices =
                mSlices.values().stream().filter(slice -> !slice.isInitial()).toList();
        return new MessageWriter(SNAPSHOT).list(slices, ControlStateMachine::writeSlice).toBytes();
    }

    /**
     * Replaces the states of all slices.
     *
     * @throws IllegalStateException if the snapshot cannot be restored
     */
    public void restore(byte[] snapshot) {
        Result<List<SliceState>> states =
                MessageReader.decode(snapshot, ControlStateMachine::readSlices);
        states.match(this::restoreSlices, ControlStateMachine::failRestore);
    }

    private void restoreSlices(List<SliceState> states) {
        states.forEach(this::restoreSlice);
        List<String> restored = states.stream().map(SliceState::name).toList();
        mSlices.values().stream()
                .filter(slice -> !restored.contains(slice.name()))
                .forEach(ReplicatedSlice::reset);
    }

    /** Decodes the result of {@link #apply}. */
    public static Result<byte[]> decodeResult(byte[] encoded) {
        return MessageReader.decode(encoded, ControlStateMachine::readResult)
                .flatMap(result -> result);
    }

    private Result<byte[]> applyEntry(ControlEntry entry) {
        ReplicatedSlice slice = mSlices.get(entry.slice());
        if (slice == null) {
            return Result.failure(ErrorKind.FRAME_INVALID, "unknown slice " + entry.slice());
        }
        return slice.apply(entry.payload(), entry.proposedEpochMilliseconds());
    }

    private void restoreSlice(SliceState state) {
        ReplicatedSlice slice = mSlices.get(state.name());
        if (slice == null) {
            failRestore(
                    new SkylarkError(ErrorKind.STORAGE_FAILED, "unknown slice " + state.name()));
        }
        slice.restore(state.bytes()).match(ignored -> {}, ControlStateMachine::failRestore);
    }

    /**
     * Throws, because a member that cannot read the committed state must not continue without it.
     */
    private static void failRestore(SkylarkError error) {
        throw new IllegalStateException("the snapshot cannot be restored: " + error.detail());
    }

    private static void writeSlice(MessageWriter writer, ReplicatedSlice slice) {
        writer.text(slice.name()).bytes(slice.snapshot());
    }

    private static List<SliceState> readSlices(MessageReader reader) {
        int type = reader.type();
        if (type != SNAPSHOT) {
            return MessageReader.unknownType(type);
        }
        return reader.list(item -> new SliceState(item.text(), item.bytes()));
    }

    private static byte[] encodeResult(Result<byte[]> result) {
        return result.fold(
                payload -> new MessageWriter(SUCCEEDED).bytes(payload).toBytes(),
                error ->
                        new MessageWriter(FAILED)
                                .text(error.kind().name())
                                .text(error.detail())
                                .toBytes());
    }

    private static Result<byte[]> readResult(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case SUCCEEDED -> Result.success(reader.bytes());
            case FAILED -> Result.failure(ErrorKind.valueOf(reader.text()), reader.text());
            default -> MessageReader.unknownType(type);
        };
    }

    /** The state of one slice in a snapshot. */
    private record SliceState(String name, byte[] bytes) {}
}
