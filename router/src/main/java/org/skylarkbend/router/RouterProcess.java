package org.skylarkbend.router;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.forwarding.ledger.LedgerCodec;
import org.skylarkbend.forwarding.ledger.LedgerMessage;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.placement.PlacementDecider;
import org.skylarkbend.placement.PlacementParameters;
import org.skylarkbend.placement.PrefixCostPolicy;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.router.accounting.AccountingDecider;
import org.skylarkbend.router.accounting.AccountingMessage;
import org.skylarkbend.router.accounting.AccountingTask;
import org.skylarkbend.router.forward.ForwardMessage;
import org.skylarkbend.router.forward.ForwardMetrics;
import org.skylarkbend.router.forward.ForwardTask;
import org.skylarkbend.router.forward.ResponseMessage;
import org.skylarkbend.router.front.FrontMessage;
import org.skylarkbend.router.front.HttpFrontTask;
import org.skylarkbend.router.link.ControlLinkDecider;
import org.skylarkbend.router.link.ControlLinkMessage;
import org.skylarkbend.router.link.ControlLinkTask;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.router.watch.EndpointWatchTask;
import org.skylarkbend.router.watch.WatchMessage;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.wire.WireOptions;

/** Creates the tasks of a router and connects them to each other. */
public final class RouterProcess {
    /** Responses that are not complete may take this part of the heap; joining copies them. */
    private static final int HEAP_PARTS_OF_RESPONSES = 8;

    private static final StructuredLog LOG = StructuredLog.of(RouterProcess.class);

    private static final long FINAL_REPORT_TIMEOUT_MILLISECONDS = 2_000;

    private final LedgerCodec mLedgerCodec = new LedgerCodec();
    private final LimitCodec mLimitCodec = new LimitCodec();
    private final UsageCodec mUsageCodec = new UsageCodec();
    private final Vertx mVertx;
    private final RouterSettings mSettings;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final MillisecondClock mClock;
    private final Tracing mTracing;
    private final Mailbox<FrontMessage> mFront = new Mailbox<>();
    private final Mailbox<ForwardMessage> mForward = new Mailbox<>();
    private final Mailbox<ControlLinkMessage> mLink = new Mailbox<>();
    private final Mailbox<WatchMessage> mWatch = new Mailbox<>();
    private final Mailbox<AccountingMessage> mAccounting = new Mailbox<>();
    private HttpFrontTask mFrontTask;
    private AccountingTask mAccountingTask;

    /** Creates a router that is not started yet. */
    public RouterProcess(
            Vertx vertx, RouterSettings settings, Tracing tracing, MillisecondClock clock) {
        mVertx = vertx;
        mSettings = settings;
        mTracing = tracing;
        mClock = clock;
    }

    /** Starts all tasks. The future completes with the port of the HTTP server. */
    public Future<Integer> start() {
        long incarnation = MillisecondClock.wall().nowMilliseconds();
        String callIdPrefix = mSettings.vm() + "-" + Long.toHexString(incarnation) + "-";
        mFrontTask =
                new HttpFrontTask(
                        mSettings, callIdPrefix, mFront, mForward, mMetrics, mTracing, mClock);
        mAccountingTask = accountingTask(incarnation);
        return mVertx.deployVerticle(forwardTask())
                .compose(id -> mVertx.deployVerticle(mAccountingTask))
                .compose(id -> mVertx.deployVerticle(watchTask()))
                .compose(id -> mVertx.deployVerticle(linkTask(incarnation)))
                .compose(id -> mVertx.deployVerticle(mFrontTask))
                .map(id -> mFrontTask.port());
    }

    /**
     * Shuts down gracefully: accepts no new calls, finishes the running ones and reports their
     * usage. The future completes when this is done.
     */
    public Future<Void> drain() {
        Promise<Void> drained = Promise.promise();
        mFront.accept(new FrontMessage.Drain(drained::tryComplete));
        mForward.accept(new ForwardMessage.ShuttingDown());
        return drained.future()
                .compose(ignored -> mAccountingTask.shutDown(FINAL_REPORT_TIMEOUT_MILLISECONDS))
                .recover(
                        e -> {
                            LOG.warn("usage.unreported", "cause", e.getMessage());
                            return Future.succeededFuture();
                        });
    }

    private AccountingTask accountingTask(long incarnation) {
        return new AccountingTask(
                new AccountingDecider(mSettings.vm(), incarnation),
                mAccounting,
                message -> sendToControl(UsageMessage.SLICE, mUsageCodec.encode(message)),
                grants -> mForward.accept(new ForwardMessage.GrantsChanged(grants)),
                mClock);
    }

    private ForwardTask forwardTask() {
        Consumer<ResponseMessage> responses =
                response -> mFront.accept(new FrontMessage.ResponseReceived(response));
        PlacementParameters parameters = PlacementParameters.defaults();
        return new ForwardTask(
                mSettings,
                mForward,
                responses,
                new ByteBudget(
                        "forward_responses",
                        Runtime.getRuntime().maxMemory() / HEAP_PARTS_OF_RESPONSES,
                        mMetrics),
                mWatch,
                new PlacementDecider(parameters, new PrefixCostPolicy(parameters)),
                message -> sendToControl(LedgerMessage.SLICE, mLedgerCodec.encode(message)),
                line -> mAccounting.accept(new AccountingMessage.Settled(line)),
                message -> sendToControl(LimitCodec.SLICE, mLimitCodec.encode(message)),
                new ForwardMetrics(mMetrics),
                mTracing,
                mClock);
    }

    private EndpointWatchTask watchTask() {
        return new EndpointWatchTask(
                mSettings,
                mWatch,
                view -> mForward.accept(new ForwardMessage.EndpointsChanged(view)),
                event -> mForward.accept(new ForwardMessage.CacheChanged(event)),
                mClock);
    }

    private ControlLinkTask linkTask(long incarnation) {
        RouterHello hello = new RouterHello(mSettings.vm(), mSettings.dataCentre(), incarnation);
        List<Consumer<ServingView>> viewConsumers =
                List.of(
                        view -> mForward.accept(new ForwardMessage.ViewChanged(view)),
                        view -> mWatch.accept(new WatchMessage.ViewChanged(view)),
                        view -> mFront.accept(new FrontMessage.ViewChanged(view)));
        return new ControlLinkTask(
                new ControlLinkDecider(hello, mSettings.control()),
                mLink,
                viewConsumers,
                this::dispatchSliceMessage,
                WireOptions.of(mSettings.tls()),
                mClock);
    }

    private void sendToControl(String slice, byte[] payload) {
        mLink.accept(new ControlLinkMessage.SendSliceMessage(new SliceMessage(slice, payload)));
    }

    private void dispatchSliceMessage(SliceMessage message) {
        if (message.slice().equals(LedgerMessage.SLICE)) {
            dispatch(
                    mLedgerCodec.decode(message.payload()),
                    response ->
                            mForward.accept(new ForwardMessage.LedgerResponseReceived(response)));
        } else if (message.slice().equals(UsageMessage.SLICE)) {
            dispatch(
                    mUsageCodec.decode(message.payload()),
                    received ->
                            mAccounting.accept(
                                    new AccountingMessage.ControlMessageReceived(received)));
        } else if (message.slice().equals(LimitCodec.SLICE)) {
            dispatch(
                    mLimitCodec.decode(message.payload()),
                    received -> {
                        mForward.accept(new ForwardMessage.LimitOwnerMessageReceived(received));
                        mFront.accept(new FrontMessage.LimitOwnerAvailable());
                    });
        } else {
            LOG.warn("slice.unknown", "slice", message.slice());
        }
    }

    private static <M> void dispatch(Result<M> decoded, Consumer<M> task) {
        decoded.match(task, error -> LOG.warn("slice.garbled", "detail", error.detail()));
    }
}
