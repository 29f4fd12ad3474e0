package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the errors sent to callers after endpoint failures match the calls that ran. */
public class AttemptFailureTest {
    private static final String BOOKED = "{\"booked\":true}";

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(200, 30_000);
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    private void restartRouter(long silenceMilliseconds, long serviceTimeoutMilliseconds) {
        mFixture.close();
        mFixture = new RouterFixture(silenceMilliseconds, serviceTimeoutMilliseconds);
    }

    @Test
    public void aBookingWhoseResponseIsCutAtAnyByteRunsOnceAndIsNotReportedAsNotRun() {
        AtomicInteger cutBytes = new AtomicInteger();
        FakeEndpoint.Script cut =
                (request, socket) -> {
                    String full = FakeResponses.full(request.attempt(), 201, BOOKED);
                    socket.end(Buffer.buffer(full.substring(0, cutBytes.get())));
                };
        mFixture.endpoint(cut);
        mFixture.endpoint(cut);
        mFixture.publish();
        int fullBytes = FakeResponses.full("entry-1-19a0b0c0d0e-1.1", 201, BOOKED).length() - 8;
        for (int bytes = 0; bytes < fullBytes; bytes++) {
            cutBytes.set(bytes);
            HttpResponse<String> reply = mFixture.send(mFixture.booking(RouterFixture.KEY));
            assertThat(reply.statusCode()).isEqualTo(502);
            assertThat(reply.body()).contains("may_have_run").doesNotContain("booked");
        }
        assertEachBookingRanOnce();
    }

    @Test
    public void aBookingCutAtAnyByteOfItsRequestIsNotSentAgain() {
        AtomicInteger cutBytes = new AtomicInteger(1);
        CuttingEndpoint cutting = new CuttingEndpoint(mFixture, cutBytes::get);
        mFixture.publish(mFixture.set(RouterFixture.KEY, cutting.port()));
        for (int bytes = 1; bytes < cutting.longestRequestBytes() || bytes < 64; bytes++) {
            cutBytes.set(bytes);
            int before = cutting.connections();
            HttpResponse<String> reply = mFixture.send(mFixture.booking(RouterFixture.KEY));
            assertThat(reply.statusCode()).isEqualTo(502);
            assertThat(reply.body()).contains("may_have_run");
            assertThat(cutting.connections()).isEqualTo(before + 1);
        }
    }

    @Test
    public void aBookingThatTheServiceDidNotRunGoesToAnother() {
        String refusal = "X-Skylark-Not-Run: true\r\n";
        FakeEndpoint.Script refuse =
                (request, socket) ->
                        socket.write(FakeResponses.full(request.attempt(), 503, "{}", refusal));
        FakeEndpoint first = mFixture.endpoint(refuse);
        FakeEndpoint second = mFixture.endpoint((request, socket) -> reply(request, socket));
        mFixture.publish();
        for (int i = 0; i < 4; i++) {
            assertThat(mFixture.send(mFixture.booking(RouterFixture.KEY)).body()).isEqualTo(BOOKED);
        }
        assertThat(second.requests()).hasSize(4);
        second.script(refuse);
        HttpResponse<String> refused = mFixture.send(mFixture.booking(RouterFixture.KEY));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("not_run");
        assertThat(refused.headers().firstValue("Retry-After")).isPresent();
        assertThat(first.requests()).isNotEmpty();
    }

    /** Guards against a booking that is made twice because its status promised "not run". */
    @Test
    public void aBookingThatTheServiceMayHaveRunGetsAStatusThatPromisesNothing() {
        AtomicReference<String> response = new AtomicReference<>();
        FakeEndpoint service =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(response.get().replace("ATTEMPT", request.attempt())));
        mFixture.publish();
        for (int status : List.of(408, 421, 429, 503)) {
            for (String more : List.of("", "X-Skylark-Not-Run: no\r\n", "X-Not-Run: true\r\n")) {
                response.set(FakeResponses.full("ATTEMPT", status, "{}", more));
                int before = service.requests().size();
                HttpResponse<String> reply = mFixture.send(mFixture.booking(RouterFixture.KEY));
                assertThat(reply.statusCode()).as("status %d %s", status, more).isEqualTo(502);
                assertThat(reply.body()).contains("may_have_run");
                assertThat(service.requests()).hasSize(before + 1);
            }
        }
    }

    /** Guards against a changed response to a call that may run again. */
    @Test
    public void aLookupGetsTheStatusOfTheService() {
        mFixture.endpoint(
                (request, socket) ->
                        socket.write(FakeResponses.full(request.attempt(), 429, "{}")));
        mFixture.publish();
        assertThat(mFixture.send(mFixture.stock(RouterFixture.KEY)).statusCode()).isEqualTo(429);
    }

    @Test
    public void aBookingForWhichNoConnectionCanBeHadDidNotRun() {
        FakeEndpoint gone = mFixture.endpoint((request, socket) -> reply(request, socket));
        mFixture.publish();
        gone.stop();
        HttpResponse<String> reply = mFixture.send(mFixture.booking(RouterFixture.KEY));
        assertThat(reply.statusCode()).isEqualTo(503);
        assertThat(reply.body()).contains("\"run_state\":\"not_run\"");
        assertThat(gone.requests()).isEmpty();
    }

    @Test
    public void responsesOfOtherAttemptsReachNoCaller() {
        AtomicReference<FakeRequest> firstRequest = new AtomicReference<>();
        AtomicReference<NetSocket> firstSocket = new AtomicReference<>();
        mFixture.endpoint(
                (request, socket) -> {
                    if (firstRequest.compareAndSet(null, request)) {
                        firstSocket.set(socket);
                    } else {
                        reply(firstRequest.get(), socket);
                        reply(request, firstSocket.get());
                    }
                });
        mFixture.publish();
        List<CompletableFuture<HttpResponse<String>>> responses =
                List.of(
                        mFixture.sending(mFixture.booking(RouterFixture.KEY)),
                        mFixture.sending(mFixture.booking(RouterFixture.KEY)));
        for (CompletableFuture<HttpResponse<String>> reply : responses) {
            HttpResponse<String> response = RouterFixture.await(reply);
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(response.body()).contains("may_have_run").doesNotContain("booked");
        }
    }

    @Test
    public void aBookingOnASilentConnectionEndsInTimeAndIsNotSentAgain() {
        restartRouter(200, 600);
        FakeEndpoint silent = mFixture.endpoint((request, socket) -> {});
        mFixture.endpoint((request, socket) -> {});
        mFixture.publish();
        HttpResponse<String> reply = mFixture.send(mFixture.booking(RouterFixture.KEY));
        assertThat(reply.statusCode()).isEqualTo(504);
        assertThat(reply.body()).contains("endpoint_timeout", "may_have_run");
        assertThat(silent.requests().size()).isLessThanOrEqualTo(1);
    }

    @Test
    public void bookingsNeverGoOverAConnectionThatWasUsedBefore() {
        FakeEndpoint service = mFixture.endpoint((request, socket) -> reply(request, socket));
        mFixture.publish();
        for (int i = 0; i < 5; i++) {
            mFixture.send(mFixture.booking(RouterFixture.KEY));
        }
        assertThat(service.connections()).isEqualTo(5);
    }

    @Test
    public void aStockCallOnAStalledReusedConnectionIsRepeatedOnANewOne() {
        restartRouter(2_000, 30_000);
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint service =
                mFixture.endpoint(
                        (request, socket) -> {
                            if (requests.incrementAndGet() != 2) {
                                reply(request, socket);
                            }
                        });
        mFixture.publish();
        assertThat(mFixture.send(mFixture.stock(RouterFixture.KEY)).statusCode()).isEqualTo(201);
        assertThat(mFixture.send(mFixture.stock(RouterFixture.KEY)).statusCode()).isEqualTo(201);
        assertThat(service.connections()).isEqualTo(2);
        assertThat(service.requests()).hasSize(3);
    }

    @Test
    public void anEmptyResponseOfAnEngineIsRetriedElsewhere() {
        AtomicInteger empties = new AtomicInteger();
        FakeEndpoint.Script emptyOnce =
                (request, socket) -> {
                    boolean isCall = request.method().equals("POST");
                    if (isCall && empties.getAndIncrement() == 0) {
                        socket.write(FakeResponses.full(request.attempt(), 200, ""));
                    } else {
                        socket.write(FakeResponses.stream(request.attempt(), 0, "12"));
                    }
                };
        mFixture.endpoint(emptyOnce);
        mFixture.endpoint(emptyOnce);
        mFixture.publish();
        HttpResponse<String> reply = mFixture.send(mFixture.chat(RouterFixture.KEY, false));
        assertThat(reply.statusCode()).isEqualTo(200);
        assertThat(reply.body()).contains("\"content\":\"12\"");
        assertThat(empties.get()).isGreaterThan(1);
    }

    private void assertEachBookingRanOnce() {
        long attempts = mFixture.endpoints().stream().mapToLong(e -> e.requests().size()).sum();
        long calls =
                mFixture.endpoints().stream()
                        .flatMap(e -> e.requests().stream())
                        .map(request -> request.attempt().replaceAll("\\.\\d+$", ""))
                        .distinct()
                        .count();
        assertThat(attempts).isEqualTo(calls);
    }

    private static void reply(FakeRequest request, NetSocket socket) {
        socket.write(FakeResponses.full(request.attempt(), 201, BOOKED));
    }
}
