package org.skylarkbend.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.List;

/**
 * Decodes the bytes of an endpoint behind a relay: blocks of a 4-byte length and as many bytes. A
 * block of length 0 is the end of the endpoint's connection. Without it the end of the connection
 * is a failure, because the relay may have ended while the endpoint was sending.
 */
final class TunnelDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_BYTES = 4;

    private long mBlockBytes;
    private boolean mEnded;

    /** Returns the block with these bytes. */
    static Buffer block(Buffer bytes) {
        return Buffer.buffer(LENGTH_BYTES + bytes.length())
                .appendInt(bytes.length())
                .appendBuffer(bytes);
    }

    /** Returns the block that ends the connection of the endpoint. */
    static Buffer end() {
        return Buffer.buffer(LENGTH_BYTES).appendInt(0);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (mEnded) {
            in.skipBytes(in.readableBytes());
        } else if (mBlockBytes > 0) {
            int bytes = (int) Math.min(mBlockBytes, in.readableBytes());
            mBlockBytes -= bytes;
            out.add(in.readRetainedSlice(bytes));
        } else if (in.readableBytes() >= LENGTH_BYTES) {
            mBlockBytes = in.readUnsignedInt();
            if (mBlockBytes == 0) {
                mEnded = true;
                context.close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (!mEnded) {
            context.fireExceptionCaught(
                    new IOException("the connection through the relay was closed"));
        }
        super.channelInactive(context);
    }
}
