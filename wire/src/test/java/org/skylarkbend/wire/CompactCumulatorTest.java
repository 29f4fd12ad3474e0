package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests the buffer of the bytes that a decoder has received and not decoded. */
public class CompactCumulatorTest {
    private static final int READ_BYTES = 4 * 1024;
    private static final int READS = 100;
    private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;

    private final CompactCumulator mCumulator = new CompactCumulator();

    /** Guards against a buffer that keeps what was decoded of it and grows with each read. */
    @Test
    public void aBufferOfWhichMostIsDecodedDoesNotGrow() {
        ByteBuf undecoded = received(READ_BYTES);
        for (int i = 0; i < READS; i++) {
            undecoded = mCumulator.cumulate(ALLOCATOR, undecoded, received(READ_BYTES));
            undecoded.skipBytes(READ_BYTES);
        }
        assertThat(undecoded.readableBytes()).isEqualTo(READ_BYTES);
        assertThat(undecoded.capacity()).isLessThanOrEqualTo(2 * 2 * READ_BYTES);
        undecoded.release();
    }

    /** Guards against a part of a body that changes while it is in use. */
    @Test
    public void aSliceOfTheBufferKeepsItsBytes() {
        ByteBuf undecoded = ALLOCATOR.buffer(8, 1024).writeBytes(text("abcdefgh"));
        ByteBuf slice = undecoded.readRetainedSlice(4);
        undecoded =
                mCumulator.cumulate(
                        ALLOCATOR, undecoded, ALLOCATOR.buffer().writeBytes(text("ijklmnop")));
        assertThat(slice.toString(StandardCharsets.US_ASCII)).isEqualTo("abcd");
        assertThat(undecoded.toString(StandardCharsets.US_ASCII)).isEqualTo("efghijklmnop");
        slice.release();
        undecoded.release();
    }

    private static ByteBuf received(int bytes) {
        return ALLOCATOR.buffer(bytes).writeZero(bytes);
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
