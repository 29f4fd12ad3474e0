package org.skylarkbend.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decodes the response to one request at a time, into a {@link Head} and contents. In place of a
 * part that has a fault it emits a {@link Fault}. Bytes that arrive while no response is expected,
 * or after the end of one, are not parsed but reported as {@link StrayBytes}.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /**
     * Maximum number of responses to other requests in front of one; further ones are passed on.
     */
    private static final int MAX_SKIPPED = 4;

    private static final int MIN_FINAL_STATUS = 200;
    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

    private final long mKeepAliveMilliseconds;
    private boolean mExpecting;
    private ExchangeRequest mRequest;
    private boolean mSkipping;
    private int mSkipped;

    /**
     * Head of the response to the present request.
     *
     * @param start its status and headers
     * @param keepAlive what it says about its connection
     * @param isEndedByConnection true if nothing but the end of the connection ends the body
     */
    record Head(ResponseStart start, KeepAlive keepAlive, boolean isEndedByConnection) {}

    /**
     * Part of a response that must not be taken for what it looks like.
     *
     * @param cause description of the fault
     */
    record Fault(String cause) {}

    /**
     * Bytes that belong to no response.
     *
     * @param bytes their number
     */
    record StrayBytes(int bytes) {}

    /**
     * Response to another request, which is not decoded further.
     *
     * @param status its status
     */
    record SkippedResponse(int status) {}

    ResponseDecoder(ExchangeOptions options) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(options.maxHeadBytes())
                        .setMaxHeaderSize(options.maxHeadBytes())
                        .setStrictLineParsing(true));
        mKeepAliveMilliseconds = options.keepAliveMilliseconds();
    }

    /** Expects the response to a request from now on. */
    void expectResponse(ExchangeRequest request) {
        mExpecting = true;
        mRequest = request;
        mSkipped = 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (mExpecting) {
            super.decode(context, in, out);
            check(in, out);
        } else {
            takeStrayBytes(in, out);
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        super.decodeLast(context, in, out);
        check(in, out);
    }

    /** Accepts only the exact form of a status line; the superclass reads others as well. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSIONS.contains(statusLine[0]) || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "the status line begins with " + statusLine[0] + " " + statusLine[1]);
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mRequest.method().equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }

    private void check(ByteBuf in, List<Object> out) {
        if (out.isEmpty()) {
            return;
        }
        boolean isEnd = out.get(out.size() - 1) instanceof LastHttpContent;
        out.replaceAll(ResponseDecoder::withoutFault);
        if (out.get(0) instanceof HttpResponse response) {
            takeHead(response, out);
        }
        if (mSkipping) {
            out.removeIf(ResponseDecoder::isContent);
            mSkipping = !isEnd;
        } else if (isEnd) {
            mExpecting = false;
            reportBytesBehindEnd(in, out);
        }
    }

    /** Returns the part, or its fault in place of it. */
    private static Object withoutFault(Object part) {
        Optional<String> cause =
                part instanceof HttpObject object ? ResponseFaults.in(object) : Optional.empty();
        if (cause.isEmpty()) {
            return part;
        }
        ReferenceCountUtil.release(part);
        return new Fault(cause.get());
    }

    private void takeHead(HttpResponse response, List<Object> out) {
        int status = response.status().code();
        if (status < MIN_FINAL_STATUS) {
            mSkipping = true;
            out.remove(0);
            return;
        }
        ResponseStart start = ResponseStart.of(response);
        if (mSkipped < MAX_SKIPPED && mRequest.isOtherResponse().test(start)) {
            mSkipping = true;
            mSkipped++;
            out.set(0, new SkippedResponse(status));
        } else {
            boolean isEndedByConnection = isEndedByConnection(response);
            out.set(
                    0,
                    new Head(
                            start,
                            KeepAlive.of(response, isEndedByConnection, mKeepAliveMilliseconds),
                            isEndedByConnection));
        }
    }

    /** Returns whether a response has a body with neither a length nor chunks. */
    private boolean isEndedByConnection(HttpResponse response) {
        return !isContentAlwaysEmpty(response)
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    /** Returns whether a part is content, and releases it in that case. */
    private static boolean isContent(Object part) {
        boolean isContent = part instanceof HttpContent;
        if (isContent) {
            ReferenceCountUtil.release(part);
        }
        return isContent;
    }

    /**
     * Reports bytes behind the end of the response before the end itself, because the connection
     * may be used for the next request as soon as the end is known.
     */
    private static void reportBytesBehindEnd(ByteBuf in, List<Object> out) {
        if (in.isReadable()) {
            Object end = out.remove(out.size() - 1);
            takeStrayBytes(in, out);
            out.add(end);
        }
    }

    private static void takeStrayBytes(ByteBuf in, List<Object> out) {
        if (in.isReadable()) {
            out.add(new StrayBytes(in.readableBytes()));
            in.skipBytes(in.readableBytes());
        }
    }
}
