package org.skylarkbend.router.link;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;
import org.skylarkbend.wire.WireOptions;

/** Task that owns the connection to control and publishes the serving view to the other tasks. */
public final class ControlLinkTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(ControlLinkTask.class);
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;

    private final ControlLinkDecider mDecider;
    private final Mailbox<ControlLinkMessage> mMailbox;
    private final List<Consumer<ServingView>> mViewConsumers;
    private final Consumer<SliceMessage> mSlices;
    private final WireOptions mWire;
    private final MillisecondClock mClock;
    private FrameDialer<FeedMessage> mDialer;
    private FrameConnection<FeedMessage> mConnection;
    private boolean mStopped;

    /**
     * Creates a task that passes each new serving view, and messages of other slices, to the given
     * consumers.
     */
    public ControlLinkTask(
            ControlLinkDecider decider,
            Mailbox<ControlLinkMessage> mailbox,
            List<Consumer<ServingView>> viewConsumers,
            Consumer<SliceMessage> slices,
            WireOptions wire,
            MillisecondClock clock) {
        mDecider = decider;
        mMailbox = mailbox;
        mViewConsumers = List.copyOf(viewConsumers);
        mSlices = slices;
        mWire = wire;
        mClock = clock;
    }

    @Override
    public Future<?> start() {
        mDialer = new FrameDialer<>(vertx, new FeedCodec(), mWire, mClock);
        mMailbox.bind(context, this::handle);
        vertx.setPeriodic(
                HEARTBEAT_INTERVAL_MILLISECONDS,
                id -> handle(new ControlLinkMessage.HeartbeatDue()));
        handle(new ControlLinkMessage.Started());
        return Future.succeededFuture();
    }

    @Override
    public Future<?> stop() {
        mStopped = true;
        return mDialer.close();
    }

    private void handle(ControlLinkMessage message) {
        if (!mStopped) {
            Effects.executeEach(mDecider.decide(message, mClock.nowMilliseconds()), this::execute);
        }
    }

    private void execute(ControlLinkEffect effect) {
        if (effect instanceof ControlLinkEffect.Dial dial) {
            dial(dial);
        } else if (effect instanceof ControlLinkEffect.Send send && mConnection != null) {
            mConnection.send(send.message());
        } else if (effect instanceof ControlLinkEffect.Close close && mConnection != null) {
            LOG.debug("link.closed", "cause", close.cause());
            mConnection.close();
        } else if (effect instanceof ControlLinkEffect.Serve serve) {
            mViewConsumers.forEach(viewConsumer -> viewConsumer.accept(serve.view()));
        } else if (effect instanceof ControlLinkEffect.DispatchToSlice slice) {
            mSlices.accept(slice.message());
        } else if (effect instanceof ControlLinkEffect.LogRejectedSet rejected) {
            LOG.warn("set.refused", "revision", rejected.revision(), "detail", rejected.detail());
        }
    }

    private void dial(ControlLinkEffect.Dial dial) {
        if (dial.delayMilliseconds() == 0) {
            connect(dial);
        } else {
            vertx.setTimer(dial.delayMilliseconds(), id -> connect(dial));
        }
    }

    private void connect(ControlLinkEffect.Dial dial) {
        if (mStopped) {
            return;
        }
        mDialer.dial(dial.address().host(), dial.address().port())
                .onSuccess(this::connected)
                .onFailure(e -> handle(new ControlLinkMessage.Disconnected()));
    }

    private void connected(FrameConnection<FeedMessage> connection) {
        mConnection = connection;
        connection.onMessage(message -> handle(new ControlLinkMessage.Received(message)));
        connection.onClose(
                () -> {
                    mConnection = null;
                    handle(new ControlLinkMessage.Disconnected());
                });
        handle(new ControlLinkMessage.Connected());
    }
}
