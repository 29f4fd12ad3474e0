package org.skylarkbend.router.watch;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.membership.EndpointMembershipDecider;
import org.skylarkbend.membership.MembershipEffect;
import org.skylarkbend.membership.MembershipMessage;
import org.skylarkbend.membership.MembershipThresholds;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.publishing.EndpointKind;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.router.RouterSettings;
import org.skylarkbend.router.RouterSettings.HttpAddress;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.wire.BoundedBody;

/**
 * Task that polls the load of endpoints and the platform's list of VMs, subscribes to the cache
 * events of engines, and publishes the status of all endpoints. Each poll uses a new connection, so
 * that one unresponsive connection does not make an endpoint appear unreachable.
 */
public final class EndpointWatchTask extends VerticleBase {
    /**
     * Maximum size of a load report or of the endpoint list of a site of some thousand endpoints.
     */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final StructuredLog LOG = StructuredLog.of(EndpointWatchTask.class);
    private static final int STATUS_OK = 200;

    /**
     * Maximum number of polls under way to one address: the connections of the client to it, less
     * the one of the cache events.
     */
    private static final int MAX_OPEN_POLLS = 4;

    private static final long PUBLISH_INTERVAL_MILLISECONDS = 50;

    private final RouterSettings mSettings;
    private final Mailbox<WatchMessage> mMailbox;
    private final Consumer<EndpointsView> mViewConsumer;
    private final Consumer<CacheEvent> mEvents;
    private final MillisecondClock mClock;
    private final EndpointMembershipDecider mMembership =
            new EndpointMembershipDecider(MembershipThresholds.defaults());
    private final Map<ObjectName, LoadReport> mLoads = new HashMap<>();
    private final Map<ObjectName, CacheEventFeed> mFeeds = new HashMap<>();
    private final Map<String, Integer> mOpenPolls = new HashMap<>();
    private ServingView mView = ServingView.none();
    private HttpClient mClient;
    private boolean mChanged;

    /** Creates a task that passes status changes and cache events to the given consumers. */
    public EndpointWatchTask(
            RouterSettings settings,
            Mailbox<WatchMessage> mailbox,
            Consumer<EndpointsView> viewConsumer,
            Consumer<CacheEvent> events,
            MillisecondClock clock) {
        mSettings = settings;
        mMailbox = mailbox;
        mViewConsumer = viewConsumer;
        mEvents = events;
        mClock = clock;
    }

    @Override
    public Future<?> start() {
        long connectTimeoutMilliseconds = mSettings.bounds().connectTimeoutMilliseconds();
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setConnectTimeout((int) connectTimeoutMilliseconds);
        mClient = vertx.createHttpClient(options);
        mMailbox.bind(context, this::handle);
        vertx.setPeriodic(mSettings.bounds().watchMilliseconds(), id -> pollAll());
        vertx.setPeriodic(PUBLISH_INTERVAL_MILLISECONDS, id -> publish());
        return Future.succeededFuture();
    }

    private void handle(WatchMessage message) {
        if (message instanceof WatchMessage.ViewChanged changed) {
            boolean sameSet = changed.view().published().revision() == mView.published().revision();
            mView = changed.view();
            if (!sameSet) {
                handleSet(mView.published().set().endpoints());
            }
        } else if (message instanceof WatchMessage.AttemptEnded ended) {
            updateMembership(
                    ended.responded()
                            ? new MembershipMessage.ResponseReceived(ended.endpoint())
                            : new MembershipMessage.Failed(ended.endpoint()));
        }
    }

    private void handleSet(Map<ObjectName, Endpoint> endpoints) {
        mLoads.keySet().retainAll(endpoints.keySet());
        for (ObjectName name : Set.copyOf(mFeeds.keySet())) {
            if (!mFeeds.get(name).endpoint().equals(endpoints.get(name))) {
                mFeeds.remove(name).stop();
            }
        }
        endpoints.values().stream()
                .filter(endpoint -> endpoint.kind() == EndpointKind.ENGINE)
                .filter(endpoint -> !mFeeds.containsKey(endpoint.name()))
                .forEach(this::openFeed);
        updateMembership(
                new MembershipMessage.EndpointsConfigured(new HashSet<>(endpoints.keySet())));
        pollAll();
    }

    private void openFeed(Endpoint endpoint) {
        CacheEventFeed feed = new CacheEventFeed(vertx, mClient, endpoint, mEvents);
        mFeeds.put(endpoint.name(), feed);
        feed.open();
    }

    private void pollAll() {
        mView.published().set().endpoints().values().forEach(this::pollLoad);
        mSettings.platform().ifPresent(this::pollPlatform);
    }

    private void pollLoad(Endpoint endpoint) {
        if (isBusy(endpoint.host(), endpoint.port())) {
            return;
        }
        long requestedMilliseconds = mClock.nowMilliseconds();
        fetch(endpoint.host(), endpoint.port(), "/load")
                .onSuccess(body -> handleLoad(endpoint.name(), body, requestedMilliseconds))
                .onFailure(e -> updateMembership(new MembershipMessage.Failed(endpoint.name())));
    }

    private void handleLoad(ObjectName endpoint, Buffer body, long requestedMilliseconds) {
        Optional<LoadReport> load = ReportCodec.decodeLoad(body.getBytes(), requestedMilliseconds);
        load.ifPresent(report -> mLoads.put(endpoint, report));
        mChanged |= load.isPresent();
        updateMembership(
                load.isPresent()
                        ? new MembershipMessage.ReportReceived(
                                endpoint, load.get().incarnation(), load.get().leaving())
                        : new MembershipMessage.ResponseReceived(endpoint));
    }

    private void pollPlatform(HttpAddress platform) {
        if (isBusy(platform.host(), platform.port())) {
            return;
        }
        fetch(platform.host(), platform.port(), "/vms")
                .onSuccess(
                        body ->
                                ReportCodec.decodeList(body.getBytes())
                                        .ifPresent(this::updateMembership));
    }

    private void updateMembership(MembershipMessage message) {
        for (MembershipEffect effect : mMembership.decide(message, mClock.nowMilliseconds())) {
            mChanged = true;
            if (effect instanceof MembershipEffect.ConditionChanged changed) {
                LOG.info("endpoint.changed", "endpoint", changed.endpoint(), "to", changed.to());
            } else if (effect instanceof MembershipEffect.Restarted restarted) {
                LOG.info("endpoint.restarted", "endpoint", restarted.endpoint());
            }
        }
    }

    private void publish() {
        updateMembership(new MembershipMessage.TimePassed());
        if (!mChanged) {
            return;
        }
        mChanged = false;
        Map<ObjectName, EndpointStatus> statuses = new HashMap<>();
        for (ObjectName name : mView.published().set().endpoints().keySet()) {
            statuses.put(
                    name,
                    new EndpointStatus(
                            mMembership.conditionOf(name), Optional.ofNullable(mLoads.get(name))));
        }
        mViewConsumer.accept(new EndpointsView(statuses));
    }

    /** Returns whether so many polls wait for the address that another would wait behind them. */
    private boolean isBusy(String host, int port) {
        return mOpenPolls.getOrDefault(host + ":" + port, 0) >= MAX_OPEN_POLLS;
    }

    private Future<Buffer> fetch(String host, int port, String path) {
        String address = host + ":" + port;
        mOpenPolls.merge(address, 1, Integer::sum);
        return mClient.request(HttpMethod.GET, port, host, path)
                .compose(this::readInTime)
                .onComplete(
                        ignored ->
                                mOpenPolls.computeIfPresent(
                                        address, (key, open) -> open == 1 ? null : open - 1))
                .timeout(mSettings.bounds().silenceMilliseconds(), TimeUnit.MILLISECONDS);
    }

    /** Reads a response, and closes its connection if it is not complete in time. */
    private Future<Buffer> readInTime(HttpClientRequest request) {
        long timerId =
                vertx.setTimer(
                        mSettings.bounds().silenceMilliseconds(),
                        id -> request.connection().close());
        return request.send()
                .compose(EndpointWatchTask::bodyOf)
                .onComplete(ignored -> vertx.cancelTimer(timerId));
    }

    private static Future<Buffer> bodyOf(HttpClientResponse response) {
        Future<Buffer> body = BoundedBody.read(response, MAX_BODY_BYTES);
        return response.statusCode() == STATUS_OK ? body : body.map(Buffer.buffer());
    }
}
