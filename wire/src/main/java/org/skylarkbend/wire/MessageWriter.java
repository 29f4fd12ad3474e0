package org.skylarkbend.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of a message as MessagePack, to be read in the same order. */
public final class MessageWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Creates a writer and writes the type number of the message. */
    public MessageWriter(int type) {
        number(type);
    }

    /** Writes an integer. */
    public MessageWriter number(long value) {
        return pack(() -> mPacker.packLong(value));
    }

    /** Writes a floating-point number. */
    public MessageWriter decimal(double value) {
        return pack(() -> mPacker.packDouble(value));
    }

    /** Writes a boolean. */
    public MessageWriter flag(boolean value) {
        return pack(() -> mPacker.packBoolean(value));
    }

    /** Writes a string. */
    public MessageWriter text(String value) {
        return pack(() -> mPacker.packString(value));
    }

    /** Writes a byte array. */
    public MessageWriter bytes(byte[] value) {
        return pack(
                () -> {
                    mPacker.packBinaryHeader(value.length);
                    mPacker.writePayload(value);
                });
    }

    /** Writes a list whose items are written by the given consumer. */
    public <T> MessageWriter list(List<T> items, BiConsumer<MessageWriter, T> item) {
        pack(() -> mPacker.packArrayHeader(items.size()));
        items.forEach(value -> item.accept(this, value));
        return this;
    }

    /** Returns the bytes written so far. */
    public byte[] toBytes() {
        return mPacker.toByteArray();
    }

    private MessageWriter pack(PackOperation operation) {
        try {
            operation.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an in-memory buffer failed", e);
        }
    }

    /** A write to the packer. */
    @FunctionalInterface
    private interface PackOperation {
        void run() throws IOException;
    }
}
