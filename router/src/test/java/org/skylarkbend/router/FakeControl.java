package org.skylarkbend.router;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.forwarding.ledger.LedgerCodec;
import org.skylarkbend.forwarding.ledger.LedgerDecider;
import org.skylarkbend.forwarding.ledger.LedgerLimits;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.forwarding.ledger.LedgerSnapshot;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.usage.MonthNumbers;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageDecider;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.usage.UsageSnapshot;
import org.skylarkbend.usage.UsageTokens;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;

/** A fake control VM that is always the leader. It drops every second usage acknowledgement. */
final class FakeControl {
    static final long LEASE_MILLISECONDS = 5_000;

    private static final long AMPLE_TOKENS = 100_000_000;
    private static final List<CustomerLimit> AMPLE_LIMITS =
            List.of(
                    limitOf("desk", AMPLE_TOKENS, AMPLE_TOKENS),
                    limitOf("other", AMPLE_TOKENS, AMPLE_TOKENS),
                    limitOf("open", AMPLE_TOKENS, AMPLE_TOKENS));

    private final List<FrameConnection<FeedMessage>> mConnections = new ArrayList<>();
    private final Vertx mVertx;
    private final FrameListener<FeedMessage> mListener;
    private final LedgerCodec mLedgerCodec = new LedgerCodec();
    private final LedgerDecider mLedger =
            new LedgerDecider(LedgerLimits.defaults(), LedgerSnapshot.empty());
    private final UsageCodec mUsageCodec = new UsageCodec();
    private final UsageDecider mUsage = new UsageDecider(UsageSnapshot.empty());
    private int mReportsSeen;
    private final LimitCodec mLimitCodec = new LimitCodec();
    private RouterIdentity mIdentity;
    private FakeLimitOwner mLimitOwner;
    private long mLimitTerm;
    private boolean mOwnsLimits = true;
    private boolean mLedgerCutOff;
    private int mPort;
    private long mRevision;
    private String mYaml = "";
    private boolean mCutOff;
    private long mAwaitedRevision = Long.MAX_VALUE;
    private CompletableFuture<Void> mInForce = new CompletableFuture<>();

    FakeControl(Vertx vertx) {
        mVertx = vertx;
        mListener =
                new FrameListener<>(
                        vertx, new FeedCodec(), WireOptions.plain(), MillisecondClock.monotonic());
    }

    ControlAddress start() {
        mPort = RouterFixture.await(mListener.listen("127.0.0.1", 0, this::accept));
        return new ControlAddress("127.0.0.1", mPort);
    }

    /**
     * Publishes a set. The future completes at the first heartbeat of the router with its revision.
     */
    synchronized CompletableFuture<Void> publishAsync(String yaml) {
        mRevision++;
        mYaml = yaml;
        mAwaitedRevision = mRevision;
        mInForce = new CompletableFuture<>();
        mConnections.forEach(connection -> connection.send(new SetDocument(mRevision, mYaml)));
        return mInForce;
    }

    synchronized long revision() {
        return mRevision;
    }

    synchronized boolean ownsLimits() {
        return mOwnsLimits;
    }

    /** Stops responding to the router while the connection stays open. */
    synchronized void cutOff() {
        mCutOff = true;
    }

    private synchronized void accept(FrameConnection<FeedMessage> connection) {
        mConnections.add(connection);
        connection.onMessage(message -> reply(connection, message));
        connection.onClose(() -> remove(connection));
    }

    private synchronized void remove(FrameConnection<FeedMessage> connection) {
        mConnections.remove(connection);
    }

    private synchronized void reply(FrameConnection<FeedMessage> connection, FeedMessage message) {
        if (mCutOff) {
            return;
        }
        if (message instanceof RouterHello hello) {
            mIdentity = new RouterIdentity(hello.vm(), hello.incarnation());
            beginLimits(AMPLE_LIMITS);
        } else if (message instanceof RouterHeartbeat heartbeat) {
            connection.send(new ServingLease(heartbeat.sequence(), mRevision, LEASE_MILLISECONDS));
            if (heartbeat.revision() >= mAwaitedRevision) {
                mInForce.complete(null);
            }
        } else if (message instanceof SetRequest) {
            connection.send(new SetDocument(mRevision, mYaml));
        } else if (message instanceof SliceMessage slice
                && slice.slice().equals(UsageMessage.SLICE)) {
            mUsageCodec
                    .decode(slice.payload())
                    .match(
                            report -> respondToUsage(connection, (UsageMessage.Report) report),
                            error -> connection.close());
        } else if (message instanceof SliceMessage slice
                && slice.slice().equals(LimitCodec.SLICE)) {
            mLimitCodec
                    .decode(slice.payload())
                    .match(this::handleRouterMessage, error -> connection.close());
        } else if (message instanceof SliceMessage slice && !mLedgerCutOff) {
            mLedgerCodec
                    .decode(slice.payload())
                    .match(
                            request -> respondToLedger(connection, request),
                            error -> connection.close());
        }
    }

    private void handleRouterMessage(LimitMessage message) {
        if (mLimitOwner != null) {
            mLimitOwner.handleRouterMessage(message);
        }
    }

    private void respondToLedger(FrameConnection<FeedMessage> connection, LedgerMessage request) {
        LedgerMessage reply =
                mLedger.apply((LedgerMessage.Request) request, System.currentTimeMillis());
        byte[] payload = mLedgerCodec.encode(reply);
        connection.send(new SliceMessage(LedgerMessage.SLICE, payload));
    }

    private void respondToUsage(
            FrameConnection<FeedMessage> connection, UsageMessage.Report report) {
        long todayEpochDay = java.time.LocalDate.now(java.time.ZoneOffset.UTC).toEpochDay();
        UsageMessage reply = mUsage.apply(report, todayEpochDay);
        mReportsSeen++;
        if (mReportsSeen % 2 == 0) {
            sendUsage(connection, reply);
        }
    }

    private void sendUsage(FrameConnection<FeedMessage> connection, UsageMessage message) {
        connection.send(new SliceMessage(UsageMessage.SLICE, mUsageCodec.encode(message)));
    }

    /** Tells the routers that the grants of these customers are exhausted for this month. */
    synchronized void exhaustGrants(String... customers) {
        long month = MonthNumbers.numberOf(java.time.YearMonth.now(java.time.ZoneOffset.UTC));
        var names = java.util.Arrays.stream(customers).map(ObjectName::of).toList();
        UsageMessage grants = new UsageMessage.GrantsUsedUp(month, names);
        mConnections.forEach(connection -> sendUsage(connection, grants));
    }

    /** Returns the tokens counted for a customer in this month. */
    synchronized UsageTokens countedTokens(String customer) {
        long month = MonthNumbers.numberOf(java.time.YearMonth.now(java.time.ZoneOffset.UTC));
        return mUsage.tokensOf(ObjectName.of(customer), month);
    }

    /** Starts a new term as the owner of a customer's limit, for the router that connected last. */
    synchronized void setLimit(String customer, long tokensPerSecond, long burstTokens) {
        beginLimits(List.of(limitOf(customer, tokensPerSecond, burstTokens)));
    }

    private void beginLimits(List<CustomerLimit> limits) {
        if (mOwnsLimits) {
            mLimitTerm++;
            mLimitOwner =
                    new FakeLimitOwner(
                            mVertx, mIdentity, mLimitTerm, this::sendLimits, this::runSynchronized);
            mLimitOwner.begin(limits);
        }
    }

    private static CustomerLimit limitOf(String customer, long tokensPerSecond, long burstTokens) {
        return new CustomerLimit(ObjectName.of(customer), tokensPerSecond, burstTokens);
    }

    /** Sets whether this control VM owns the limits. */
    synchronized void setOwnsLimits(boolean owns) {
        mOwnsLimits = owns;
        if (owns && mIdentity != null) {
            beginLimits(AMPLE_LIMITS);
        }
    }

    private synchronized void runSynchronized(Runnable work) {
        work.run();
    }

    private synchronized void sendLimits(LimitMessage message) {
        byte[] payload = mLimitCodec.encode(message);
        mConnections.forEach(c -> c.send(new SliceMessage(LimitCodec.SLICE, payload)));
    }

    /** Sets whether requests to the call ledger are ignored. */
    synchronized void cutOffLedger(boolean cutOff) {
        mLedgerCutOff = cutOff;
    }
}
