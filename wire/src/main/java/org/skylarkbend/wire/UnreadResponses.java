package org.skylarkbend.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.skylarkbend.base.StructuredLog;

/** Closes a connection whose peer reads nothing of the responses that wait for it. */
final class UnreadResponses {
    private static final StructuredLog LOG = StructuredLog.of(UnreadResponses.class);

    private final LongSupplier mUnreadMilliseconds;
    private Future<?> mTimer;
    private long mUnreadBytes;

    /**
     * Creates the check of one connection, which is not running.
     *
     * @param unreadMilliseconds returns the time in which the peer must read some bytes
     */
    UnreadResponses(LongSupplier unreadMilliseconds) {
        mUnreadMilliseconds = unreadMilliseconds;
    }

    /** Starts to check a connection that accepts no more bytes. */
    void startUnlessRunning(ChannelHandlerContext context) {
        if (mTimer == null) {
            start(context);
        }
    }

    private void start(ChannelHandlerContext context) {
        mUnreadBytes = unreadBytes(context);
        mTimer =
                context.executor()
                        .schedule(
                                () -> check(context),
                                mUnreadMilliseconds.getAsLong(),
                                TimeUnit.MILLISECONDS);
    }

    private void check(ChannelHandlerContext context) {
        if (unreadBytes(context) == mUnreadBytes) {
            LOG.info(
                    "response.unread",
                    "peer",
                    context.channel().remoteAddress(),
                    "unread_bytes",
                    mUnreadBytes);
            context.close();
        } else {
            start(context);
        }
    }

    /** Returns the bytes that the socket has not taken yet; those of the first part are counted. */
    private static long unreadBytes(ChannelHandlerContext context) {
        ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes() - waiting.currentProgress();
    }

    /** Ends the check. */
    void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
