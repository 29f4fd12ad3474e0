package org.skylarkbend.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/**
 * Splits a byte stream into frames: a 4-byte big-endian length followed by the payload.
 *
 * <p>A frame of length 0 is a heartbeat and is returned as an empty payload. After a failure the
 * connection must be closed, because the start of the next frame is unknown.
 */
public final class FrameAssembler {
    /** The size of the length field that precedes each payload. */
    public static final int HEADER_BYTES = 4;

    private final int mMaxPayloadBytes;
    private ByteBuffer mPending = ByteBuffer.allocate(0);

    /** Creates an assembler that fails on payloads larger than this size. */
    public FrameAssembler(int maxPayloadBytes) {
        mMaxPayloadBytes = maxPayloadBytes;
    }

    /** Returns the payload with its length prepended. */
    public static byte[] frameOf(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .put(payload)
                .array();
    }

    /** Appends received bytes and returns all payloads that are now complete. */
    public Result<List<byte[]>> feed(byte[] chunk) {
        ByteBuffer buffer = ByteBuffer.allocate(mPending.remaining() + chunk.length);
        buffer.put(mPending).put(chunk).flip();
        List<byte[]> payloads = new ArrayList<>();
        while (buffer.remaining() >= HEADER_BYTES) {
            int payloadBytes = buffer.getInt(buffer.position());
            if (payloadBytes < 0 || payloadBytes > mMaxPayloadBytes) {
                return Result.failure(
                        ErrorKind.FRAME_INVALID,
                        "frame of " + payloadBytes + " bytes; the limit is " + mMaxPayloadBytes);
            }
            if (buffer.remaining() < HEADER_BYTES + payloadBytes) {
                break;
            }
            buffer.position(buffer.position() + HEADER_BYTES);
            byte[] payload = new byte[payloadBytes];
            buffer.get(payload);
            payloads.add(payload);
        }
        mPending =
                ByteBuffer.wrap(
                        Arrays.copyOfRange(buffer.array(), buffer.position(), buffer.limit()));
        return Result.success(List.copyOf(payloads));
    }
}
