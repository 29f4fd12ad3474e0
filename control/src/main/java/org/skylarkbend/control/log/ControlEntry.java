package org.skylarkbend.control.log;

import java.util.Arrays;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * An entry of the replicated log.
 *
 * @param slice the name of the slice that applies the entry
 * @param proposedEpochMilliseconds the leader's time of the proposal; all members apply the entry
 *     with this time
 * @param payload the message in the encoding of the slice
 */
public record ControlEntry(String slice, long proposedEpochMilliseconds, byte[] payload) {
    private static final int ENTRY = 1;

    /** Copies the payload. */
    public ControlEntry {
        payload = payload.clone();
    }

    @Override
    public byte[] payload() {
        return payload.clone();
    }

    /** Encodes the entry for the log. */
    public byte[] toBytes() {
        return new MessageWriter(ENTRY)
                .text(slice)
                .number(proposedEpochMilliseconds)
                .bytes(payload)
                .toBytes();
    }

    /** Decodes an entry; fails if the bytes are not a valid entry. */
    public static Result<ControlEntry> fromBytes(byte[] bytes) {
        return MessageReader.decode(bytes, ControlEntry::read);
    }

    private static ControlEntry read(MessageReader reader) {
        int type = reader.type();
        if (type != ENTRY) {
            return MessageReader.unknownType(type);
        }
        return new ControlEntry(reader.text(), reader.number(), reader.bytes());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ControlEntry entry
                && entry.slice.equals(slice)
                && entry.proposedEpochMilliseconds == proposedEpochMilliseconds
                && Arrays.equals(entry.payload, payload);
    }

    @Override
    public int hashCode() {
        return 31 * slice.hashCode() + Arrays.hashCode(payload);
    }
}
