package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.intake.CallerBudgets;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.testing.LoopbackPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Runs a gateway on the loopback interface for tests of its behavior towards callers. */
abstract class GatewayFixture {
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 20;
    private static final int MAX_CALLER_CONNECTIONS = 100;
    private static final String KEY = "secret";

    protected Vertx mVertx;
    protected HttpClient mClient;
    protected GatewayTask mGateway;
    protected MetricRegistry mMetrics;
    protected int mPort;

    /** What the gateway last reported as under way at endpoints. */
    protected volatile WorkUnderWay mWork = new WorkUnderWay(Map.of(), 0);

    private Context mGatewayContext;

    /** Response as received by the caller. */
    protected record Response(int status, Map<String, String> head, Optional<String> body) {}

    @BeforeMethod
    public void startGateway() throws Exception {
        mVertx = Vertx.vertx();
        mClient =
                mVertx.createHttpClient(
                        new HttpClientOptions(),
                        new PoolOptions().setHttp1MaxSize(MAX_CALLER_CONNECTIONS));
        mPort = LoopbackPorts.next();
        mMetrics = createMetrics();
        mGateway = gateway(mPort, LoopbackPorts.next(), dialer(), mMetrics);
        await(mVertx.deployVerticle(new ContextCapture()));
    }

    /** Returns a gateway that is not deployed. */
    protected GatewayTask gateway(
            int port, int relayPort, EndpointDialer dialer, MetricRegistry metrics) {
        GatewaySettings settings =
                new GatewaySettings(
                        ObjectName.of("front-1"),
                        ObjectName.of("z"),
                        new GatewaySettings.ListenAddress("127.0.0.1", port),
                        new GatewaySettings.ListenAddress("127.0.0.1", relayPort),
                        new GatewaySettings.ListenAddress("127.0.0.1", 1),
                        "/ready",
                        1,
                        List.of("127.0.0.1"),
                        1,
                        FakeEndpoint.NAMES,
                        new GatewaySettings.Budgets(
                                1,
                                retryBudgetCapacity(),
                                SiteLimits.Slack.none(),
                                60_000,
                                2_000,
                                100),
                        5_000);
        return new GatewayTask(
                settings,
                new CallerBudgets(
                        new ByteBudget("gateway_heads", headMemoryBytes(), metrics),
                        new ByteBudget("gateway_held", memoryBytes(), metrics),
                        new ByteBudget("gateway_undecoded", memoryBytes(), metrics)),
                metrics,
                clock(),
                dialer,
                message -> {},
                new GatewayReports(
                        this::workReported, outcomes -> {}, crashes -> {}, this::relayOffered),
                this::readinessChanged);
    }

    /** Deploys the gateway and keeps its context. */
    private final class ContextCapture implements Deployable {
        @Override
        public Future<?> deploy(Context context) throws Exception {
            mGatewayContext = context;
            return mGateway.deploy(context);
        }

        @Override
        public Future<?> undeploy(Context context) throws Exception {
            return mGateway.undeploy(context);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        await(mVertx.close());
    }

    /** Returns whether the customer shares no cached parts of prompts with others. */
    protected boolean isIsolated() {
        return false;
    }

    /** Returns the customers besides the one whose key the calls have. */
    protected List<Customer> otherCustomers() {
        return List.of();
    }

    /** Returns the limits on the requests and connections of callers. */
    protected CallerLimits callerLimits() {
        return CallerLimits.defaults();
    }

    /** Returns what opens connections of the gateway to endpoints. */
    protected EndpointDialer dialer() {
        return EndpointDialer.direct(mVertx, EndpointAccess.CONNECT_TIMEOUT_MILLISECONDS);
    }

    /** Receives the offers of gateways to open connections for others. */
    protected void relayOffered(RelayOffered offer) {}

    /** Receives the readiness of gateways. */
    protected void readinessChanged(boolean ready) {}

    /** Receives the work in flight that the gateway reports. */
    protected void workReported(WorkUnderWay work) {
        mWork = work;
    }

    /** Returns the clock of the gateway. */
    protected MillisecondClock clock() {
        return MillisecondClock.monotonic();
    }

    /** Returns the registry of the gateway's metrics. */
    protected MetricRegistry createMetrics() {
        return new MetricRegistry();
    }

    /** Returns the memory for heads. */
    protected long headMemoryBytes() {
        return 16 * 1024 * 1024;
    }

    /** Returns the memory for bodies. */
    protected long memoryBytes() {
        return 64 * 1024 * 1024;
    }

    /** Returns the maximum number of retries in the budget of a service. */
    protected double retryBudgetCapacity() {
        return 10;
    }

    protected void publish(Route route, FakeEndpoint... endpoints) throws Exception {
        publish(
                route,
                java.util.Arrays.stream(endpoints)
                        .map(FakeEndpoint::listed)
                        .toArray(Endpoint[]::new));
    }

    /** Publishes a catalog and endpoints, and waits until the gateway has taken them over. */
    protected void publish(Route route, Endpoint... endpoints) throws Exception {
        publishTo(mGateway, route, endpoints);
        Promise<Void> takenOver = Promise.promise();
        mGatewayContext.runOnContext(ignored -> takenOver.complete());
        await(takenOver.future());
    }

    /** Publishes a catalog and endpoints to a gateway. */
    protected void publishTo(GatewayTask gateway, Route route, Endpoint... endpoints) {
        Customer customer =
                new Customer(
                        "one",
                        List.of(Sha256.hexOf(KEY)),
                        OptionalInt.empty(),
                        isIsolated(),
                        0,
                        0,
                        1);
        gateway.catalogChanged(
                new Catalog(
                        1,
                        List.of(route),
                        Map.of("desk", new Service("desk", 10, Optional.empty(), Optional.empty())),
                        Stream.concat(Stream.of(customer), otherCustomers().stream()).toList(),
                        callerLimits()));
        gateway.endpointsChanged(new Endpoints(List.of(endpoints), Set.of()));
        gateway.limitMessageReceived(new LimitMessage.TermBegan(1));
    }

    /** Runs an action on the event loop of the gateway. */
    protected void runOnGateway(Runnable action) {
        mGatewayContext.runOnContext(ignored -> action.run());
    }

    protected Response call(Map<String, String> headers) throws Exception {
        return await(send(headers));
    }

    protected Response call() throws Exception {
        return call(Map.of());
    }

    /** Makes a call with the given ID. */
    protected Response call(String id) throws Exception {
        return call(Map.of("Call-Id", id));
    }

    /** Waits until a condition holds. */
    protected void awaitUntil(BooleanSupplier condition) throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(untilNanoseconds);
            await(mVertx.timer(POLL_MILLISECONDS, TimeUnit.MILLISECONDS));
        }
    }

    protected Future<Response> send(Map<String, String> headers) {
        return send(headers, Buffer.buffer("body"));
    }

    /**
     * Sends a call. Its response is read from the turn of the event loop in which it arrives; what
     * arrives before a response has a handler is lost.
     */
    protected Future<Response> send(Map<String, String> headers, Buffer body) {
        return request(headers)
                .compose(request -> request.send(body).compose(GatewayTaskTest::toResponse));
    }

    protected Future<HttpClientRequest> request(Map<String, String> headers) {
        return mClient.request(HttpMethod.POST, mPort, "127.0.0.1", "/x/y")
                .map(
                        request -> {
                            request.putHeader("Host", "a.example");
                            request.putHeader("Authorization", "Bearer " + KEY);
                            request.putHeader("Call-Id", "c1");
                            headers.forEach(request::putHeader);
                            return request;
                        });
    }

    protected static Future<Response> toResponse(HttpClientResponse response) {
        return response.body()
                .map(body -> Optional.of(body.toString()))
                .otherwise(Optional.empty())
                .map(
                        body ->
                                new Response(
                                        response.statusCode(),
                                        lowerCase(response.headers()),
                                        body));
    }

    private static Map<String, String> lowerCase(io.vertx.core.MultiMap headers) {
        Map<String, String> names = new java.util.TreeMap<>();
        headers.forEach(header -> names.put(header.getKey().toLowerCase(), header.getValue()));
        return names;
    }

    protected static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
