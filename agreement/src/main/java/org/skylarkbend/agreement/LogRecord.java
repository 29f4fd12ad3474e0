package org.skylarkbend.agreement;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * The form of a record in the log file: its length, a checksum over length and payload, the
 * payload.
 *
 * <p>Exactly one of the two parts is present.
 */
record LogRecord(Optional<HardState> hardState, Optional<LogEntry> entry) {
    /** The bytes in front of each payload. */
    static final int HEADER_BYTES = 8;

    private static final int HARD_STATE = 1;
    private static final int ENTRY = 2;

    static LogRecord of(HardState hardState) {
        return new LogRecord(Optional.of(hardState), Optional.empty());
    }

    static LogRecord of(LogEntry entry) {
        return new LogRecord(Optional.empty(), Optional.of(entry));
    }

    /** The whole record, with its header. */
    byte[] toBytes() {
        return frame(payload());
    }

    /** A header and a payload. */
    static byte[] frame(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum(payload))
                .put(payload)
                .array();
    }

    /** The payload that begins at this place, if a whole and undamaged one does. */
    static Optional<byte[]> payloadAt(ByteBuffer file, int positionBytes) {
        if (file.limit() - positionBytes < HEADER_BYTES) {
            return Optional.empty();
        }
        int payloadBytes = file.getInt(positionBytes);
        int checksum = file.getInt(positionBytes + Integer.BYTES);
        if (payloadBytes < 1 || payloadBytes > file.limit() - positionBytes - HEADER_BYTES) {
            return Optional.empty();
        }
        byte[] payload = new byte[payloadBytes];
        file.get(positionBytes + HEADER_BYTES, payload);
        return checksum(payload) == checksum ? Optional.of(payload) : Optional.empty();
    }

    /** Reads a payload. */
    static Result<LogRecord> decode(byte[] payload) {
        return MessageReader.decode(payload, LogRecord::read);
    }

    private byte[] payload() {
        if (entry.isPresent()) {
            MessageWriter writer = new MessageWriter(ENTRY);
            EntryEncoding.write(writer, entry.get());
            return writer.toBytes();
        }
        HardState state = hardState.orElseThrow();
        MessageWriter writer = new MessageWriter(HARD_STATE).number(state.term());
        EntryEncoding.write(writer, state.vote());
        return writer.toBytes();
    }

    private static LogRecord read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case HARD_STATE ->
                    of(new HardState(reader.number(), EntryEncoding.readOptionalMember(reader)));
            case ENTRY -> of(EntryEncoding.readEntry(reader));
            default -> MessageReader.unknownType(type);
        };
    }

    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).flip());
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}
