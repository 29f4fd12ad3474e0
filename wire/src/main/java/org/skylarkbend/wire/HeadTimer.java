package org.skylarkbend.wire;

import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.skylarkbend.base.StructuredLog;

/** Closes a connection on which a head stays incomplete. */
final class HeadTimer {
    private static final StructuredLog LOG = StructuredLog.of(HeadTimer.class);

    /**
     * Time in which a connection is read once more before its head counts as late. If the loop was
     * held up, the rest of the head may wait in the socket.
     */
    private static final long READ_AGAIN_MILLISECONDS = 50;

    private final LongSupplier mHeadMilliseconds;
    private final BooleanSupplier mAwaitsResponse;
    private Future<?> mTimer;
    private boolean mSeemsLate;

    /**
     * Creates a timer of one connection, which is not running.
     *
     * @param headMilliseconds returns the time from the first byte of a head to its last one
     * @param awaitsResponse returns whether a response to an earlier request is still to be sent,
     *     for which the time begins anew
     */
    HeadTimer(LongSupplier headMilliseconds, BooleanSupplier awaitsResponse) {
        mHeadMilliseconds = headMilliseconds;
        mAwaitsResponse = awaitsResponse;
    }

    /** Starts the time of a head, unless it runs already. */
    void startUnlessRunning(ChannelHandlerContext context) {
        if (mTimer == null) {
            start(context);
        }
    }

    /** Begins the time of a head anew if it runs. */
    void restartIfRunning(ChannelHandlerContext context) {
        if (mTimer != null) {
            cancel();
            start(context);
        }
    }

    /** Ends the time, because the head is complete or the connection is lost. */
    void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void start(ChannelHandlerContext context) {
        mSeemsLate = false;
        schedule(context, mHeadMilliseconds.getAsLong());
    }

    private void schedule(ChannelHandlerContext context, long milliseconds) {
        mTimer =
                context.executor()
                        .schedule(() -> expired(context), milliseconds, TimeUnit.MILLISECONDS);
    }

    private void expired(ChannelHandlerContext context) {
        if (mAwaitsResponse.getAsBoolean() || !context.channel().isWritable()) {
            start(context);
        } else if (!mSeemsLate) {
            mSeemsLate = true;
            schedule(context, READ_AGAIN_MILLISECONDS);
        } else {
            LOG.info("request.head.late", "peer", context.channel().remoteAddress());
            context.close();
        }
    }
}
