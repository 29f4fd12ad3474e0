package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.base.telemetry.Tracing;

/** A router and a fake control VM in one JVM. The clock of the router can be advanced. */
final class RouterFixture implements AutoCloseable {
    static final String KEY = "sk-thies-0123456789abcdef";
    static final String OTHER_KEY = "sk-other-0123456789abcdef";
    static final String CREDENTIAL = "router-credential-0123456789";

    private static final long LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 10;
    private static final long AMPLE_MILLISECONDS = 10_000;

    private final Vertx mVertx = Vertx.vertx();

    /** Kept, since a client that is garbage closes its connections. */
    private final NetClient mRawClient = mVertx.createNetClient();

    private final FakeControl mControl = new FakeControl(mVertx);
    private final AtomicLong mClockOffsetMilliseconds = new AtomicLong();
    private final HttpClient mCaller = HttpClient.newHttpClient();
    private final List<FakeEndpoint> mEndpoints = new ArrayList<>();
    private final RouterSettings mSettings;
    private final FakeEndpoint mPlatform;
    private final RouterProcess mRouter;
    private final int mPort;

    RouterFixture() {
        this(200, 2_000);
    }

    RouterFixture(long silenceMilliseconds, long serviceTimeoutMilliseconds) {
        this(silenceMilliseconds, serviceTimeoutMilliseconds, true);
    }

    RouterFixture(
            long silenceMilliseconds, long serviceTimeoutMilliseconds, boolean controlOwnsLimits) {
        this(
                silenceMilliseconds,
                serviceTimeoutMilliseconds,
                controlOwnsLimits,
                AMPLE_MILLISECONDS,
                AMPLE_MILLISECONDS);
    }

    RouterFixture(
            long silenceMilliseconds,
            long serviceTimeoutMilliseconds,
            boolean controlOwnsLimits,
            long requestReadMilliseconds,
            long idleMilliseconds) {
        mControl.setOwnsLimits(controlOwnsLimits);
        mPlatform = new FakeEndpoint(mVertx, (request, socket) -> {});
        publishPlatformList(1, "");
        String bounds =
                "bounds: {max_body_bytes: 65536, max_header_bytes: 4096,"
                        + " request_read_milliseconds: "
                        + requestReadMilliseconds
                        + ", idle_connection_milliseconds: "
                        + idleMilliseconds
                        + ", silence_milliseconds: "
                        + silenceMilliseconds
                        + ", service_timeout_milliseconds: "
                        + serviceTimeoutMilliseconds
                        + ", drain_notice_milliseconds: 50, watch_milliseconds: 50}\n"
                        + "platform: {host: 127.0.0.1, port: "
                        + mPlatform.start()
                        + "}\n";
        mSettings = settings(mControl.start().port(), bounds);
        mRouter = router(mVertx, mSettings);
        mPort = await(mRouter.start());
    }

    private RouterProcess router(Vertx vertx, RouterSettings settings) {
        MillisecondClock real = MillisecondClock.monotonic();
        return new RouterProcess(
                vertx,
                settings,
                new Tracing("test", Optional.empty()),
                () -> real.nowMilliseconds() + mClockOffsetMilliseconds.get());
    }

    /** Starts another router with the same settings and returns its port. */
    int startAnotherRouter() {
        return startAnotherRouter(mVertx);
    }

    /** Starts another router that dies when its Vert.x instance is closed. */
    int startAnotherRouter(Vertx vertx) {
        int port = await(router(vertx, mSettings).start());
        assertThat(eventualStatus(port, "/readyz", 200)).isEqualTo(200);
        return port;
    }

    int platformListRequests() {
        return mPlatform.requests().size();
    }

    /** Makes the platform list these endpoints as leaving. */
    void publishPlatformList(long generation, String leaving) {
        StringBuilder entries = new StringBuilder();
        for (String name : leaving.split(" ")) {
            entries.append(entries.isEmpty() ? "" : ",");
            entries.append("{\"name\":\"").append(name).append("\",\"state\":\"leaving\"}");
        }
        String body = "{\"generation\":" + generation + ",\"endpoints\":[" + entries + "]}";
        mPlatform.script(
                (request, socket) -> socket.write(FakeResponses.full("platform", 200, body)));
    }

    /** Returns the settings of another router that listens on a port and has the usual bounds. */
    String settingsOfAnotherRouter(int port) {
        return settingsText("entry-2", port, mSettings.control().get(0).port());
    }

    private static String settingsText(String vm, int port, int controlPort) {
        return "vm: "
                + vm
                + "\ndata_centre: thies-a\nhttp: {host: 127.0.0.1, port: "
                + port
                + "}\ncontrol:\n  - {host: 127.0.0.1, port: "
                + controlPort
                + "}\nendpoint_credential: "
                + CREDENTIAL
                + "\n";
    }

    static RouterSettings settings(int controlPort, String bounds) {
        String yaml = settingsText("entry-1", 0, controlPort) + bounds;
        return RouterSettingsReader.readText("test.yaml", yaml)
                .fold(
                        settings -> settings,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }

    static <T> T await(Future<T> future) {
        return await(future.toCompletionStage().toCompletableFuture());
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("the future did not complete: " + e, e);
        }
    }

    Vertx vertx() {
        return mVertx;
    }

    /** Returns the client of the callers that send raw bytes. */
    NetClient rawClient() {
        return mRawClient;
    }

    FakeControl control() {
        return mControl;
    }

    RouterProcess router() {
        return mRouter;
    }

    int port() {
        return mPort;
    }

    /** Advances the router's clock, as after a suspension of the process. */
    void advanceClock(long milliseconds) {
        mClockOffsetMilliseconds.addAndGet(milliseconds);
    }

    FakeEndpoint endpoint(FakeEndpoint.Script script) {
        FakeEndpoint endpoint = new FakeEndpoint(mVertx, script);
        endpoint.start();
        mEndpoints.add(endpoint);
        return endpoint;
    }

    /** Publishes a set with all endpoints, an engine route and service routes. */
    void publish() {
        publish(set(KEY));
    }

    /** Publishes a set and waits until it is in force at the router. */
    void publish(String yaml) {
        await(mControl.publishAsync(yaml));
        String revisionField = "\"revision\":" + mControl.revision() + "}";
        awaitTrue(() -> reportsRevision(revisionField));
    }

    /** A router without a limit owner reports the revision in force, but never becomes ready. */
    private boolean reportsRevision(String revisionField) {
        HttpResponse<String> response = send(to("/readyz").GET());
        return response.body().contains(revisionField)
                && (response.statusCode() == 200 || !mControl.ownsLimits());
    }

    /** Waits until the condition is true, and fails after a timeout. */
    static void awaitTrue(BooleanSupplier condition) {
        assertThat(pollUntilTrue(condition)).as("condition within the timeout").isTrue();
    }

    /** Polls the condition. Returns whether it became true before the timeout. */
    static boolean pollUntilTrue(BooleanSupplier condition) {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        boolean holds = condition.getAsBoolean();
        while (!holds && System.nanoTime() < untilNanoseconds) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLISECONDS));
            holds = condition.getAsBoolean();
        }
        return holds;
    }

    List<FakeEndpoint> endpoints() {
        return List.copyOf(mEndpoints);
    }

    /**
     * Returns a set in which the customer has this key, with additional endpoints at these ports.
     */
    String set(String key, int... morePorts) {
        StringBuilder yaml = new StringBuilder();
        yaml.append("rates: {day: {tokens_per_second: 1000, burst_tokens: 100000}}\n");
        yaml.append("customers:\n  desk: {rate: day}\n  other: {rate: day}\nkeys:\n");
        yaml.append("  desk-1: {customer: desk, digest_sha256: \"");
        yaml.append(Sha256.hexOf(key)).append("\"}\n  other-1: {customer: other, ");
        yaml.append("digest_sha256: \"").append(Sha256.hexOf(OTHER_KEY)).append("\"}\n");
        yaml.append("versions: {v1: {model: m, weights: w1}}\nendpoints:\n");
        for (FakeEndpoint endpoint : mEndpoints) {
            appendEndpoint(yaml, "engine", endpoint.port());
            appendEndpoint(yaml, "service", endpoint.port());
        }
        for (int port : morePorts) {
            appendEndpoint(yaml, "engine", port);
            appendEndpoint(yaml, "service", port);
        }
        yaml.append("routes:\n");
        yaml.append("  assistant: {kind: engine, pool: engine, version: v1,");
        yaml.append(" deadline_milliseconds: 20000, customers: [desk]}\n");
        appendService(yaml, "bookings", "/bookings", "customers: [desk]");
        appendService(yaml, "stock", "/stock", "idempotent: true");
        appendService(yaml, "hours", "/hours", "open: true");
        return yaml.toString();
    }

    private static void appendEndpoint(StringBuilder yaml, String kind, int port) {
        yaml.append("  ").append(kind).append('-').append(port).append(": {host: 127.0.0.1,");
        yaml.append(" port: ").append(port).append(", data_centre: thies-a, pool: ");
        yaml.append(kind).append(", kind: ").append(kind).append(", version: v1}\n");
    }

    private static void appendService(StringBuilder yaml, String name, String prefix, String more) {
        yaml.append("  ").append(name).append(": {kind: service, path_prefix: ").append(prefix);
        yaml.append(", pool: service, version: v1, deadline_milliseconds: 5000, ");
        yaml.append(more).append("}\n");
    }

    HttpRequest.Builder to(String path) {
        return to(mPort, path);
    }

    HttpRequest.Builder to(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    }

    HttpResponse<String> send(HttpRequest.Builder request) {
        return await(sending(request));
    }

    CompletableFuture<HttpResponse<String>> sending(HttpRequest.Builder request) {
        return sending(request, new CompletableFuture<>());
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param headReceived completed when the head of the response arrives, which is sent with the
     *     first event of a stream
     */
    CompletableFuture<HttpResponse<String>> sending(
            HttpRequest.Builder request, CompletableFuture<Void> headReceived) {
        HttpResponse.BodyHandler<String> body = HttpResponse.BodyHandlers.ofString();
        return mCaller.sendAsync(
                request.build(),
                head -> {
                    headReceived.complete(null);
                    return body.apply(head);
                });
    }

    /**
     * Returns the set with the customer of {@link #OTHER_KEY} named "open", and a route "lobby" to
     * engines that needs no key.
     */
    String setWithCustomerNamedOpen() {
        return set(KEY).replace("other: {rate", "open: {rate")
                        .replace("customer: other", "customer: open")
                        .replace("customers: [desk]", "customers: [desk, open]")
                + "  lobby: {kind: engine, pool: engine, version: v1,"
                + " deadline_milliseconds: 20000, open: true}\n";
    }

    /** Returns a chat request to the route "lobby". */
    HttpRequest.Builder chatWithoutKey() {
        String body = "{\"model\":\"lobby\",\"messages\":[{\"role\":\"user\",\"content\":\"?\"}]}";
        return to("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpRequest.Builder chat(String key, boolean streamed) {
        return chat(key, streamed, "");
    }

    HttpRequest.Builder chat(String key, boolean streamed, String moreFields) {
        String body =
                "{\"model\":\"assistant\",\"stream\":"
                        + streamed
                        + moreFields
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"core stock?\"}]}";
        return to("/v1/chat/completions")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Returns an encoded chat request after which the router closes the connection. */
    String rawChat() {
        String body =
                "{\"model\":\"assistant\",\"stream\":true,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"stock?\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nConnection: close\r\n"
                + "Authorization: Bearer "
                + KEY
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Repeats the request until it returns the expected status, and returns the last status. */
    int eventualStatus(String path, int expected) {
        return eventualStatus(mPort, path, expected);
    }

    private int eventualStatus(int port, String path, int expected) {
        long untilMilliseconds = System.currentTimeMillis() + LIMIT_SECONDS * 1_000;
        int status = 0;
        while (status != expected && System.currentTimeMillis() < untilMilliseconds) {
            status = send(to(port, path).GET()).statusCode();
        }
        return status;
    }

    HttpRequest.Builder booking(String key) {
        return to("/bookings/slot-7")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"cores\":12}"));
    }

    /** Returns a booking request with an idempotency key, for one of the routers. */
    HttpRequest.Builder namedBooking(int port, String idempotencyKey) {
        return to(port, "/bookings/slot-7")
                .header("Authorization", "Bearer " + KEY)
                .header("Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString("{\"cores\":12}"));
    }

    HttpRequest.Builder stock(String key) {
        return to("/stock/cores").header("Authorization", "Bearer " + key).GET();
    }

    @Override
    public void close() {
        await(mVertx.close());
    }
}
