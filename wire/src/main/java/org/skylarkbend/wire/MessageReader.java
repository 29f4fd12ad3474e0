package org.skylarkbend.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Utf8;

/**
 * Reads the fields of a message in the order in which a {@link MessageWriter} wrote them.
 *
 * <p>{@link #decode} is the entry point: it turns all malformed input into a failure.
 */
public final class MessageReader {
    private final MessageUnpacker mUnpacker;
    private final int mPayloadBytes;

    private MessageReader(byte[] payload) {
        mUnpacker = MessagePack.newDefaultUnpacker(payload);
        mPayloadBytes = payload.length;
    }

    /** Applies the parser to the payload; fails unless it reads valid values and all bytes. */
    public static <M> Result<M> decode(byte[] payload, Function<MessageReader, M> parser) {
        MessageReader reader = new MessageReader(payload);
        try {
            M message = parser.apply(reader);
            if (reader.mUnpacker.hasNext()) {
                return Result.failure(
                        ErrorKind.FRAME_INVALID, "unexpected bytes after the message");
            }
            return Result.success(message);
        } catch (MalformedMessageException | MessagePackException | IOException e) {
            return Result.failure(ErrorKind.FRAME_INVALID, "malformed message: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            return Result.failure(ErrorKind.FRAME_INVALID, "invalid value: " + e.getMessage());
        }
    }

    /** Reads the type number at the start of a message. */
    public int type() {
        return (int) number();
    }

    /** Makes {@link #decode} fail because the slice has no message of this type. */
    public static <M> M unknownType(int type) {
        throw new MalformedMessageException("unknown message type " + type);
    }

    /** Reads an integer. */
    public long number() {
        return unpack(mUnpacker::unpackLong);
    }

    /** Reads a floating-point number. */
    public double decimal() {
        return unpack(mUnpacker::unpackDouble);
    }

    /** Reads a boolean. */
    public boolean flag() {
        return unpack(mUnpacker::unpackBoolean);
    }

    /** Reads a string. */
    public String text() {
        return unpack(
                () -> {
                    int textBytes = checkedCount(mUnpacker.unpackRawStringHeader());
                    byte[] raw = mUnpacker.readPayload(textBytes);
                    return textOf(raw);
                });
    }

    /**
     * Returns the text that a byte array of the message encodes in UTF-8; makes {@link #decode}
     * fail if it encodes none.
     */
    public static String textOf(byte[] utf8) {
        return Utf8.decode(utf8, ErrorKind.FRAME_INVALID)
                .fold(
                        text -> text,
                        error -> {
                            throw new MalformedMessageException(error.detail());
                        });
    }

    /** Reads a byte array. */
    public byte[] bytes() {
        return unpack(() -> mUnpacker.readPayload(checkedCount(mUnpacker.unpackBinaryHeader())));
    }

    /** Reads a list whose items are read by the given function. */
    public <T> List<T> list(Function<MessageReader, T> item) {
        int count = unpack(() -> checkedCount(mUnpacker.unpackArrayHeader()));
        List<T> items = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            items.add(item.apply(this));
        }
        return List.copyOf(items);
    }

    private int checkedCount(int count) {
        if (count < 0 || count > mPayloadBytes) {
            throw new MalformedMessageException("length " + count + " exceeds the message");
        }
        return count;
    }

    private static <T> T unpack(UnpackOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    /** A read from the unpacker. */
    @FunctionalInterface
    private interface UnpackOperation<T> {
        T run() throws IOException;
    }

    /** Signals a malformed message; always caught by {@link #decode}. */
    private static final class MalformedMessageException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }
}
