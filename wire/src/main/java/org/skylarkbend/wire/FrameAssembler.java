package org.skylarkbend.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
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
    private final ByteBuffer mHeader = ByteBuffer.allocate(HEADER_BYTES);
    private ByteArrayOutputStream mPayload = new ByteArrayOutputStream();

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
        ByteBuffer received = ByteBuffer.wrap(chunk);
        List<byte[]> payloads = new ArrayList<>();
        while (received.hasRemaining()) {
            if (mHeader.hasRemaining()) {
                move(received, mHeader);
            }
            if (mHeader.hasRemaining()) {
                break;
            }
            int payloadBytes = mHeader.getInt(0);
            if (payloadBytes < 0 || payloadBytes > mMaxPayloadBytes) {
                return Result.failure(
                        ErrorKind.FRAME_INVALID,
                        "frame of " + payloadBytes + " bytes; the limit is " + mMaxPayloadBytes);
            }
            int partBytes = Math.min(payloadBytes - mPayload.size(), received.remaining());
            mPayload.write(chunk, received.position(), partBytes);
            received.position(received.position() + partBytes);
            if (mPayload.size() == payloadBytes) {
                payloads.add(mPayload.toByteArray());
                startFrame();
            }
        }
        return Result.success(List.copyOf(payloads));
    }

    /** Drops the buffer too, as that of a large payload would otherwise stay allocated. */
    private void startFrame() {
        mHeader.clear();
        mPayload = new ByteArrayOutputStream();
    }

    private static void move(ByteBuffer source, ByteBuffer target) {
        int movedBytes = Math.min(source.remaining(), target.remaining());
        target.put(source.slice(source.position(), movedBytes));
        source.position(source.position() + movedBytes);
    }
}
