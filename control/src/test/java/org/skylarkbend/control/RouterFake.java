package org.skylarkbend.control;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;
import org.skylarkbend.wire.WireOptions;

/**
 * A fake router that sends heartbeats, fetches sets and records every revision that is older than
 * one received before.
 */
final class RouterFake {
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 50;

    private final Vertx mVertx;
    private final List<Integer> mFeedPorts;
    private final RouterHello mHello;
    private final FrameDialer<FeedMessage> mDialer;
    private final List<String> mRevertedRevisions = new ArrayList<>();
    private final AtomicLong mRevision = new AtomicLong();
    private final AtomicInteger mLeases = new AtomicInteger();
    private final List<SliceMessage> mResponses = new ArrayList<>();
    private final Map<String, byte[]> mRetainedMessages = new HashMap<>();
    private final List<Runnable> mConditionChecks = new ArrayList<>();
    private FrameConnection<FeedMessage> mConnection;
    private int mNextPortIndex;
    private long mSequence;
    private boolean mDialing;
    private boolean mConfirms = true;
    private SliceMessage mPendingRequest;

    RouterFake(Vertx vertx, String vm, List<Integer> feedPorts) {
        mVertx = vertx;
        mFeedPorts = feedPorts;
        mHello = new RouterHello(ObjectName.of(vm), ObjectName.of("thies-a"), System.nanoTime());
        mDialer =
                new FrameDialer<>(
                        vertx, new FeedCodec(), WireOptions.plain(), MillisecondClock.monotonic());
        vertx.runOnContext(
                ignored ->
                        vertx.setPeriodic(HEARTBEAT_INTERVAL_MILLISECONDS, id -> sendHeartbeat()));
    }

    long revision() {
        return mRevision.get();
    }

    int leases() {
        return mLeases.get();
    }

    /** Returns the received revisions that were older than one received before. */
    synchronized List<String> revertedRevisions() {
        return List.copyOf(mRevertedRevisions);
    }

    /** Returns the latest retained message of a slice. */
    synchronized Optional<byte[]> retainedMessage(String slice) {
        return Optional.ofNullable(mRetainedMessages.get(slice));
    }

    /** Sets whether heartbeats report the latest revision as served. */
    synchronized void confirms(boolean confirms) {
        mConfirms = confirms;
    }

    /**
     * Sends a slice message with each heartbeat until the response to it arrives. Since every
     * message is sent several times, responses to earlier ones may still arrive.
     *
     * @param request the message to send
     * @param parseResponse decodes a payload; empty unless it is the response to this message
     */
    <T> T request(SliceMessage request, Function<byte[], Optional<T>> parseResponse)
            throws Exception {
        synchronized (this) {
            mResponses.clear();
            mPendingRequest = request;
        }
        await(() -> response(parseResponse).isPresent());
        synchronized (this) {
            mPendingRequest = null;
        }
        return response(parseResponse).orElseThrow();
    }

    /** Waits until the condition holds, which is checked after each message and heartbeat. */
    void await(BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        synchronized (this) {
            mConditionChecks.add(
                    () -> {
                        if (condition.getAsBoolean()) {
                            reached.complete(null);
                        }
                    });
        }
        reached.get(60, TimeUnit.SECONDS);
    }

    private synchronized <T> Optional<T> response(Function<byte[], Optional<T>> parseResponse) {
        return mResponses.stream()
                .map(SliceMessage::payload)
                .flatMap(payload -> parseResponse.apply(payload).stream())
                .findFirst();
    }

    private synchronized void sendHeartbeat() {
        if (mConnection == null) {
            dial();
        } else {
            mConnection.send(new RouterHeartbeat(++mSequence, mConfirms ? mRevision.get() : 0));
            if (mPendingRequest != null) {
                mConnection.send(mPendingRequest);
            }
        }
        List.copyOf(mConditionChecks).forEach(Runnable::run);
    }

    private void dial() {
        if (mDialing) {
            return;
        }
        mDialing = true;
        int port = mFeedPorts.get(mNextPortIndex++ % mFeedPorts.size());
        mDialer.dial("127.0.0.1", port)
                .onSuccess(this::connected)
                .onComplete(done -> mDialing = false);
    }

    private synchronized void connected(FrameConnection<FeedMessage> connection) {
        mConnection = connection;
        connection.onMessage(message -> receive(connection, message));
        connection.onClose(() -> connectionClosed(connection));
        connection.send(mHello);
    }

    private synchronized void connectionClosed(FrameConnection<FeedMessage> connection) {
        if (mConnection == connection) {
            mConnection = null;
        }
    }

    private synchronized void receive(
            FrameConnection<FeedMessage> connection, FeedMessage message) {
        if (message instanceof ServingLease lease) {
            mLeases.incrementAndGet();
            checkRevision("lease", lease.revision());
            if (lease.revision() > mRevision.get()) {
                connection.send(new SetRequest(mRevision.get()));
            }
        } else if (message instanceof SetDocument document) {
            checkRevision("set", document.revision());
            mRevision.set(Math.max(mRevision.get(), document.revision()));
        } else if (message instanceof SliceMessage response) {
            storeMessage(response);
        } else {
            connection.close();
            connectionClosed(connection);
        }
        List.copyOf(mConditionChecks).forEach(Runnable::run);
    }

    /** Stores a retained message of the usage slice, or a response to the message being sent. */
    private void storeMessage(SliceMessage message) {
        boolean isRetained =
                new UsageCodec()
                        .decode(message.payload())
                        .fold(usage -> usage instanceof UsageMessage.GrantsUsedUp, error -> false);
        if (message.slice().equals(UsageMessage.SLICE) && isRetained) {
            mRetainedMessages.put(message.slice(), message.payload());
        } else if (mPendingRequest != null && mPendingRequest.slice().equals(message.slice())) {
            mResponses.add(message);
        }
    }

    private void checkRevision(String what, long revision) {
        if (revision < mRevision.get()) {
            mRevertedRevisions.add(what + " of " + revision + " after " + mRevision.get());
        }
    }
}
