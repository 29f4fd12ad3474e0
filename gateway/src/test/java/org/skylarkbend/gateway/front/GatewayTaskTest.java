package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.gateway.FakeEndpoint.breaking;
import static org.skylarkbend.gateway.FakeEndpoint.refusing;
import static org.skylarkbend.gateway.FakeEndpoint.respondingWith;
import static org.skylarkbend.gateway.FakeEndpoint.streaming;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.GatewaySettings;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.testing.LoopbackPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests calls through a gateway to endpoints that respond, refuse, break the connection or fall
 * silent.
 */
public class GatewayTaskTest {
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final String KEY = "secret";

    /** Timeout of the routes in tests that check the timeout. */
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    private Vertx mVertx;
    private HttpClient mClient;
    private GatewayTask mGateway;
    private int mPort;

    /** Response as received by the caller. */
    private record Response(int status, Map<String, String> head, Optional<String> body) {}

    @BeforeMethod
    public void startGateway() throws Exception {
        mVertx = Vertx.vertx();
        mClient = mVertx.createHttpClient();
        mPort = LoopbackPorts.next();
        GatewaySettings settings =
                new GatewaySettings(
                        ObjectName.of("front-1"),
                        ObjectName.of("z"),
                        new GatewaySettings.ListenAddress("127.0.0.1", mPort),
                        new GatewaySettings.ListenAddress("127.0.0.1", 1),
                        "/ready",
                        1,
                        List.of("127.0.0.1"),
                        1,
                        FakeEndpoint.NAMES,
                        new GatewaySettings.Budgets(1, 10, SiteLimits.Slack.none(), 60_000),
                        5_000);
        mGateway =
                new GatewayTask(
                        settings,
                        new MetricRegistry(),
                        MillisecondClock.monotonic(),
                        message -> {},
                        new GatewayReports(work -> {}, outcomes -> {}),
                        ready -> {});
        await(mVertx.deployVerticle(mGateway));
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void beforeACatalogIsKnownACallIsRefusedAsNotRun() throws Exception {
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsKey("retry-after");
        assertThat(reply.body()).hasValueSatisfying(b -> assertThat(b).contains("not_run"));
    }

    @Test
    public void aCallThatArrivesShortlyBeforeTheGatewayIsReadyIsServed() throws Exception {
        FakeEndpoint[] endpoints = listen(respondingWith(200, "done"));
        Promise<Void> arrived = Promise.promise();
        // The gateway sends "100 Continue" in the same event loop turn in which it queues a call
        // without a body.
        Future<Response> reply =
                request(Map.of("Expect", "100-continue"))
                        .compose(request -> request.continueHandler(arrived::tryComplete).send())
                        .compose(GatewayTaskTest::toResponse);
        await(arrived.future());
        publish(Routes.of(CallKind.ONCE, 1, false), endpoints);
        assertThat(await(reply).status()).isEqualTo(200);
    }

    @Test
    public void aResponseKeepsItsSealAndTheKeyIsNotForwarded() throws Exception {
        FakeEndpoint endpoint = listen(respondingWith(200, "done"))[0];
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), endpoint);
        Response reply = call(Map.of("Customer", "forged", "Cache-Scope", "forged", "X-Own", "1"));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).contains("done");
        assertThat(reply.head()).containsEntry("seal", "seal");
        Map<String, String> sent = endpoint.heads().get(0);
        assertThat(sent)
                .containsEntry("customer", "one")
                .containsEntry("expect-instance", "e0")
                .containsEntry("x-own", "1")
                .containsEntry("call-id", "c1")
                .doesNotContainKeys("authorization", "cache-scope");
        assertThat(Long.parseLong(sent.get("wait-milliseconds"))).isBetween(1L, 2_000L);
    }

    @Test
    public void aCallThatMayRunOnceIsNotRepeatedAfterAConnectionBroke() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.ONCE, 2, false, breaking(), breaking());
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(502);
        assertThat(sent(endpoints)).isEqualTo(1);
    }

    @Test
    public void aCallThatMayRunOnceIsRetriedElsewhereWhenItWasNotRun() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.ONCE, 2, false, refusing(), refusing());
        endpoints[1].behave(respondingWith(200, "done"));
        assertThat(call(Map.of()).status()).isEqualTo(200);
    }

    @Test
    public void aCallThatNoEndpointRanIsRefusedAsNotRun() throws Exception {
        serve(CallKind.ONCE, 2, false, refusing(), refusing());
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsKey("retry-after").doesNotContainKey("seal");
    }

    @Test
    public void aRepeatableCallIsRepeatedAfterAFaultAndTheLastResponseIsPassedOn()
            throws Exception {
        FakeEndpoint[] endpoints =
                serve(
                        CallKind.REPEATABLE,
                        2,
                        false,
                        respondingWith(500, "a"),
                        respondingWith(500, "b"));
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(500);
        assertThat(reply.head()).containsEntry("seal", "seal");
        assertThat(sent(endpoints)).isEqualTo(2);
    }

    @Test
    public void aResponseToAnotherCallNeverReachesTheCaller() throws Exception {
        serve(
                CallKind.ONCE,
                1,
                false,
                request ->
                        request.response()
                                .putHeader("Call-Id", "other")
                                .putHeader("Seal", "seal")
                                .end("not yours"));
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.body()).hasValueSatisfying(b -> assertThat(b).doesNotContain("yours"));
    }

    @Test
    public void aResumableStreamContinuesAtAnotherEndpointWithoutGapOrRepetition()
            throws Exception {
        FakeEndpoint[] endpoints =
                serve(CallKind.STREAM, 2, true, streaming(3, false), streaming(3, false));
        endpoints[1].behave(streaming(5, true));
        endpoints[0].behave(
                request ->
                        (request.getHeader("Last-Event-Id") == null
                                        ? streaming(3, false)
                                        : streaming(5, true))
                                .accept(request));
        Response reply = call(Map.of());
        assertThat(reply.body())
                .hasValueSatisfying(
                        body -> {
                            for (int event = 1; event <= 5; event++) {
                                assertThat(body).containsOnlyOnce("id: " + event + "\n");
                            }
                        });
    }

    @Test
    public void aStreamThatCannotBeResumedIsAbortedSoThatTheCallerNotices() throws Exception {
        serve(CallKind.STREAM, 2, false, streaming(3, false), streaming(3, false));
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).isEmpty();
    }

    @Test
    public void aCallWithoutAResponseEndsWhenItsRouteSaysSo() throws Exception {
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), listen(request -> {}));
        long beganNanoseconds = System.nanoTime();
        Response reply = call(Map.of());
        long tookMilliseconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanoseconds);
        assertThat(reply.status()).isEqualTo(504);
        assertThat(tookMilliseconds).isGreaterThanOrEqualTo(1_990);
    }

    @Test
    public void anEndpointSeesItsConnectionCloseWhenTheCallerLeaves() throws Exception {
        Promise<Void> closed = Promise.promise();
        Promise<Void> arrived = Promise.promise();
        serve(
                CallKind.REPEATABLE,
                1,
                false,
                request -> {
                    request.connection().closeHandler(ignored -> closed.tryComplete());
                    arrived.tryComplete();
                });
        Future<Response> reply = send(Map.of());
        await(arrived.future());
        await(mClient.close());
        await(closed.future());
        assertThat(reply.failed() || !reply.isComplete() || reply.result().status() != 200)
                .isTrue();
    }

    @Test
    public void aDrainingGatewayServesUntilTheLoadBalancerHasNoticedAndThenRefuses()
            throws Exception {
        serve(CallKind.ONCE, 1, false, respondingWith(200, "done"));
        Future<Void> drained = mGateway.drain(5_000, 10_000);
        Response served = call(Map.of());
        assertThat(served.status()).isEqualTo(200);
        assertThat(served.head()).containsEntry("connection", "close");
        await(drained);
        assertThat(call(Map.of()).status()).isEqualTo(503);
    }

    @SafeVarargs
    private FakeEndpoint[] serve(
            CallKind kind,
            int maxAttempts,
            boolean resumable,
            java.util.function.Consumer<io.vertx.core.http.HttpServerRequest>... behaviors)
            throws Exception {
        FakeEndpoint[] endpoints = listen(behaviors);
        publish(Routes.of(kind, maxAttempts, resumable), endpoints);
        return endpoints;
    }

    @SafeVarargs
    private FakeEndpoint[] listen(
            java.util.function.Consumer<io.vertx.core.http.HttpServerRequest>... behaviors)
            throws Exception {
        FakeEndpoint[] endpoints = new FakeEndpoint[behaviors.length];
        for (int i = 0; i < behaviors.length; i++) {
            endpoints[i] = new FakeEndpoint("e" + i, behaviors[i]);
            await(endpoints[i].listen(mVertx));
        }
        return endpoints;
    }

    private void publish(Route route, FakeEndpoint... endpoints) {
        Customer customer =
                new Customer(
                        "one", List.of(Sha256.hexOf(KEY)), OptionalInt.empty(), false, 0, 0, 1);
        mGateway.catalogChanged(
                new Catalog(
                        1,
                        List.of(route),
                        Map.of("desk", new Service("desk", 10, Optional.empty(), Optional.empty())),
                        List.of(customer),
                        CallerLimits.defaults()));
        mGateway.endpointsChanged(
                new Endpoints(
                        java.util.Arrays.stream(endpoints).map(FakeEndpoint::listed).toList(),
                        Set.of()));
        mGateway.limitMessageReceived(new LimitMessage.TermBegan(1));
    }

    private static int sent(FakeEndpoint... endpoints) {
        return java.util.Arrays.stream(endpoints).mapToInt(e -> e.heads().size()).sum();
    }

    private Response call(Map<String, String> headers) throws Exception {
        return await(send(headers));
    }

    private Future<Response> send(Map<String, String> headers) {
        return request(headers)
                .compose(request -> request.send(Buffer.buffer("body")))
                .compose(GatewayTaskTest::toResponse);
    }

    private Future<HttpClientRequest> request(Map<String, String> headers) {
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

    private static Future<Response> toResponse(HttpClientResponse response) {
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

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
