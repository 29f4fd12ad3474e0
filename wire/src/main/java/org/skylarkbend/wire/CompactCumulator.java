package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Appends received bytes to those that are not decoded yet. Decoded bytes in front of them are
 * dropped before the buffer grows, so that it takes at most twice the bytes that it holds.
 */
final class CompactCumulator implements ByteToMessageDecoder.Cumulator {
    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf received) {
        boolean isFull = received.readableBytes() > undecoded.writableBytes();
        // Slices of a body that are still in use refer to the buffer.
        if (isFull && undecoded.refCnt() == 1 && !undecoded.isReadOnly()) {
            undecoded.discardReadBytes();
        }
        return ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, undecoded, received);
    }
}
