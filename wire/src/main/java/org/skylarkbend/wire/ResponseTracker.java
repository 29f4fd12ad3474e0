package org.skylarkbend.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Tracks the ends of the responses on a connection, and delays its close after some of them. */
final class ResponseTracker extends ChannelOutboundHandlerAdapter {
    /** Time in which a peer gets the last response before unread bytes reset its connection. */
    private static final long LINGER_MILLISECONDS = 100;

    private final Runnable mOnResponseEnd;
    private final BooleanSupplier mLingers;

    /**
     * Creates a tracker for one connection.
     *
     * @param onResponseEnd called when the last part of a response is written
     * @param lingers returns whether bytes of the peer may be unread when the connection closes
     */
    ResponseTracker(Runnable onResponseEnd, BooleanSupplier lingers) {
        mOnResponseEnd = onResponseEnd;
        mLingers = lingers;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean isLast = message instanceof LastHttpContent && !isInformational(message);
        context.write(message, promise);
        if (isLast) {
            mOnResponseEnd.run();
        }
    }

    private static boolean isInformational(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (mLingers.getAsBoolean()) {
            context.executor()
                    .schedule(
                            () -> context.close(promise),
                            LINGER_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        } else {
            context.close(promise);
        }
    }
}
