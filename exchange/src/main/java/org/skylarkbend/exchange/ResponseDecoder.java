package org.skylarkbend.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the response to one request at a time. Bytes that arrive while no response is expected,
 * or after the end of one, are not parsed but reported as {@link StrayBytes}.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MIN_FINAL_STATUS = 200;

    private boolean mExpecting;
    private boolean mWithoutBody;
    private boolean mInterim;

    /**
     * Bytes that belong to no response.
     *
     * @param bytes their number
     */
    record StrayBytes(int bytes) {}

    ResponseDecoder(int maxHeadBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeadBytes)
                        .setMaxHeaderSize(maxHeadBytes)
                        .setStrictLineParsing(true));
    }

    /**
     * Expects a response from now on.
     *
     * @param withoutBody true if the method of the request is HEAD
     */
    void expectResponse(boolean withoutBody) {
        mExpecting = true;
        mWithoutBody = withoutBody;
    }

    /** Returns whether a response to the present request has no body, whatever its head says. */
    boolean isWithoutBody(HttpResponse response) {
        return isContentAlwaysEmpty(response);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (!mExpecting) {
            takeStrayBytes(in, out);
            return;
        }
        super.decode(context, in, out);
        checkForEnd(in, out);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        super.decodeLast(context, in, out);
        checkForEnd(in, out);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mWithoutBody || super.isContentAlwaysEmpty(message);
    }

    /**
     * Reports bytes behind the end of the response before the end itself, because the connection
     * may be used for the next request as soon as the end is known.
     */
    private void checkForEnd(ByteBuf in, List<Object> out) {
        if (out.isEmpty()) {
            return;
        }
        if (out.get(0) instanceof HttpResponse response) {
            mInterim = response.status().code() < MIN_FINAL_STATUS;
        }
        Object last = out.get(out.size() - 1);
        if (!(last instanceof LastHttpContent)) {
            return;
        }
        if (mInterim) {
            out.clear();
            return;
        }
        mExpecting = false;
        if (in.isReadable()) {
            out.remove(out.size() - 1);
            takeStrayBytes(in, out);
            out.add(last);
        }
    }

    private static void takeStrayBytes(ByteBuf in, List<Object> out) {
        if (in.isReadable()) {
            out.add(new StrayBytes(in.readableBytes()));
            in.skipBytes(in.readableBytes());
        }
    }
}
