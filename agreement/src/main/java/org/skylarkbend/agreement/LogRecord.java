package org.skylarkbend.agreement;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * A record of the log file, either a hard state or an entry.
 *
 * <p>On disk, it consists of the payload length, a checksum of length and payload, and the payload.
 * Exactly one of the two components is present.
 */
record LogRecord(Optional<HardState> hardState, Optional<LogEntry> entry) {
    /** The size of the header in front of each payload. */
    static final int HEADER_BYTES = 8;

    private static final int HARD_STATE = 1;
    private static final int ENTRY = 2;

    static LogRecord of(HardState hardState) {
        return new LogRecord(Optional.of(hardState), Optional.empty());
    }

    static LogRecord of(LogEntry entry) {
        return new LogRecord(Optional.empty(), Optional.of(entry));
    }

    /** Returns the encoded record, including its header. */
    byte[] toBytes() {
        return frame(payload());
    }

    /** Returns the payload with a header in front. */
    static byte[] frame(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum(payload))
                .put(payload)
                .array();
    }

    /** Returns the payload of the record at this position, or empty if it is torn or damaged. */
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

    /** Decodes a payload. */
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
