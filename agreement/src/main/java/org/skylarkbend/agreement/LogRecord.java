package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
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

    /** Writes the record, including its header. */
    void writeTo(ChunkedWriter file) throws IOException {
        write(payload(), file);
    }

    /** Writes a payload with its header in front. */
    static void write(byte[] payload, ChunkedWriter file) throws IOException {
        file.write(header(payload));
        file.write(payload);
    }

    /** Returns the payload with its header in front. */
    static byte[] frame(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .put(header(payload))
                .put(payload)
                .array();
    }

    /** Returns the payload of the only record of a file, or empty if it is torn or damaged. */
    static Optional<byte[]> onlyPayload(byte[] file) {
        if (file.length < HEADER_BYTES) {
            return Optional.empty();
        }
        Header header = Header.read(ByteBuffer.wrap(file));
        if (header.payloadBytes() != file.length - HEADER_BYTES) {
            return Optional.empty();
        }
        byte[] payload = Arrays.copyOfRange(file, HEADER_BYTES, file.length);
        return header.matches(payload) ? Optional.of(payload) : Optional.empty();
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
            case ENTRY -> of(readEntry(reader));
            default -> MessageReader.unknownType(type);
        };
    }

    private static LogEntry readEntry(MessageReader reader) {
        LogEntry entry = EntryEncoding.readEntry(reader);
        if (entry.index() < 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " is before the first");
        }
        return entry;
    }

    private static byte[] header(byte[] payload) {
        Header unchecked = new Header(payload.length, 0);
        CRC32C checksum = unchecked.startChecksum();
        checksum.update(payload);
        return ByteBuffer.allocate(HEADER_BYTES)
                .putInt(payload.length)
                .putInt((int) checksum.getValue())
                .array();
    }

    /**
     * The header in front of a payload.
     *
     * @param payloadBytes the size of the payload, which may be damaged
     * @param checksum the checksum of the size and the payload
     */
    record Header(int payloadBytes, int checksum) {
        static Header read(ByteBuffer bytes) {
            return new Header(bytes.getInt(), bytes.getInt());
        }

        /** Returns whether this is the undamaged header of the payload. */
        boolean matches(byte[] payload) {
            CRC32C actual = startChecksum();
            actual.update(payload);
            return (int) actual.getValue() == checksum;
        }

        /** Returns a checksum to which the payload is still to be added. */
        CRC32C startChecksum() {
            CRC32C started = new CRC32C();
            started.update(ByteBuffer.allocate(Integer.BYTES).putInt(payloadBytes).flip());
            return started;
        }
    }
}
