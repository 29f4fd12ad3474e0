package org.skylarkbend.control.feed;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.feed.FeedEffect.Close;
import org.skylarkbend.control.feed.FeedEffect.Confirm;
import org.skylarkbend.control.feed.FeedEffect.Forward;
import org.skylarkbend.control.feed.FeedEffect.Propose;
import org.skylarkbend.control.feed.FeedEffect.ReportConnected;
import org.skylarkbend.control.feed.FeedEffect.ReportInForce;
import org.skylarkbend.control.feed.FeedEffect.Send;
import org.skylarkbend.control.feed.FeedInput.ConfirmationEnded;
import org.skylarkbend.control.feed.FeedInput.ConnectionEnded;
import org.skylarkbend.control.feed.FeedInput.RouterSent;
import org.skylarkbend.control.feed.FeedInput.TimePassed;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.wire.FrameAssembler;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;

/** Accepts the connections of routers and executes the decisions of {@link FeedDecider}. */
public final class FeedTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(FeedTask.class);
    private static final long TICK_MILLISECONDS = 200;

    /**
     * The listen address and the services used by the task.
     *
     * @param host the address to listen on
     * @param port the port; 0 for any free port
     * @param wire the limits and TLS keys of the connections
     * @param monotonic the clock for leases
     * @param wall the clock for the timestamps of log entries
     * @param onInForce called with each revision that comes into force, on the context of this task
     * @param onForward called with each message from a router for a slice owned by the leader
     * @param onConnected called for each router that got its first lease on a connection
     */
    public record Parts(
            String host,
            int port,
            WireOptions wire,
            MillisecondClock monotonic,
            MillisecondClock wall,
            ControlLog log,
            MetricRegistry metrics,
            LongConsumer onInForce,
            Consumer<Forward> onForward,
            Consumer<ReportConnected> onConnected) {}

    private final Parts mParts;
    private final FeedDecider mDecider;
    private final Map<Long, FrameConnection<FeedMessage>> mConnections = new HashMap<>();
    private SetDocument mLatestDocument;
    private byte[] mLatestFrame = new byte[0];
    private Context mContext;
    private FrameListener<FeedMessage> mListener;
    private long mLastConnectionNumber;
    private int mPort;

    /** Creates a task that starts listening when it is deployed. */
    public FeedTask(Parts parts, FeedDecider decider) {
        mParts = parts;
        mDecider = decider;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        mListener = new FrameListener<>(vertx, new FeedCodec(), mParts.wire(), mParts.monotonic());
        vertx.setPeriodic(TICK_MILLISECONDS, id -> decide(new TimePassed()));
        return mListener
                .listen(mParts.host(), mParts.port(), this::accept)
                .onSuccess(port -> mPort = port);
    }

    @Override
    public Future<?> stop() {
        return mListener.close();
    }

    /** Returns the port on which the task listens. */
    public int port() {
        return mPort;
    }

    /** Passes an input to the task. */
    public void post(FeedInput input) {
        mContext.runOnContext(ignored -> decide(input));
    }

    /** Returns a snapshot of the feed. The future completes on the context of the caller. */
    public Future<FeedStatus> status() {
        Promise<FeedStatus> promise = Promise.promise();
        Context caller = vertx.getOrCreateContext();
        mContext.runOnContext(
                ignored -> {
                    FeedStatus status = mDecider.status(mParts.monotonic().nowMilliseconds());
                    caller.runOnContext(onCaller -> promise.complete(status));
                });
        return promise.future();
    }

    private void accept(FrameConnection<FeedMessage> connection) {
        long number = ++mLastConnectionNumber;
        mConnections.put(number, connection);
        connection.onMessage(message -> decide(new RouterSent(number, message)));
        connection.onClose(
                () -> {
                    mConnections.remove(number);
                    decide(new ConnectionEnded(number));
                });
    }

    private void decide(FeedInput input) {
        Effects.executeEach(
                mDecider.decide(input, mParts.monotonic().nowMilliseconds()), this::execute);
    }

    private void execute(FeedEffect effect) {
        if (effect instanceof Send send) {
            send(send.connection(), send.message());
        } else if (effect instanceof Confirm confirm) {
            confirm(confirm.confirmation());
        } else if (effect instanceof Propose propose) {
            propose(propose);
        } else if (effect instanceof Close close) {
            close(close);
        } else if (effect instanceof Forward forward) {
            mParts.onForward().accept(forward);
        } else if (effect instanceof ReportConnected connected) {
            mParts.onConnected().accept(connected);
        } else if (effect instanceof ReportInForce report) {
            LOG.info("control.revision.in_force", "revision", report.revision());
            mParts.onInForce().accept(report.revision());
        }
    }

    private void send(long number, FeedMessage message) {
        FrameConnection<FeedMessage> connection = mConnections.get(number);
        if (connection != null) {
            mParts.metrics().meter("feed_messages_sent").mark();
            if (message instanceof SetDocument document) {
                connection.sendFrame(frameOf(document));
            } else {
                connection.send(message);
            }
        }
    }

    /** Returns the frame of a set. All connections share that of the latest one. */
    private byte[] frameOf(SetDocument document) {
        if (!document.equals(mLatestDocument)) {
            mLatestDocument = document;
            mLatestFrame = FrameAssembler.frameOf(new FeedCodec().encode(document));
        }
        return mLatestFrame;
    }

    private void close(Close close) {
        FrameConnection<FeedMessage> connection = mConnections.get(close.connection());
        if (connection != null) {
            LOG.warn(
                    "control.feed.closed",
                    "peer",
                    connection.remoteAddress(),
                    "reason",
                    close.reason());
            connection.close();
        }
    }

    private void confirm(long confirmation) {
        mParts.log()
                .confirmLeadership()
                .onComplete(
                        done -> {
                            boolean confirmed = done.succeeded() && done.result().isSuccess();
                            decide(new ConfirmationEnded(confirmation, confirmed));
                        });
    }

    private void propose(Propose propose) {
        long nowEpochMilliseconds = mParts.wall().nowMilliseconds();
        ControlEntry entry =
                new ControlEntry(propose.slice(), nowEpochMilliseconds, propose.payload());
        Future<Result<byte[]>> outcome = mParts.log().propose(entry);
        outcome.onSuccess(
                result -> mContext.runOnContext(ignored -> respondToProposal(propose, result)));
    }

    /**
     * Sends the response to a proposal. A failed proposal gets no response, since its outcome may
     * be unknown; the router sends the message again.
     */
    private void respondToProposal(Propose propose, Result<byte[]> result) {
        result.match(
                payload -> send(propose.connection(), new SliceMessage(propose.slice(), payload)),
                error -> proposalFailed(propose, error));
    }

    private void proposalFailed(Propose propose, SkylarkError error) {
        LOG.warn(
                "control.proposal.failed",
                "slice",
                propose.slice(),
                "kind",
                error.kind().code(),
                "detail",
                error.detail());
    }
}
