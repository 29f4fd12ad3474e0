package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests bookings that callers send again with the same idempotency key, through any router. */
public class CallLedgerTest {
    private RouterFixture mFixture;
    private FakeEndpoint mService;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(200, 60_000);
        mService =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.full(request.attempt(), 201, "{}")));
        mFixture.publish();
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    private HttpResponse<String> book(int port, String name) {
        return mFixture.send(mFixture.namedBooking(port, name));
    }

    /**
     * The caller may receive its response before the ledger has the outcome; until then the call is
     * in doubt.
     */
    @Test(timeOut = 30_000)
    public void aBookingSentAgainThroughAnotherRouterIsFoundToHaveRun() {
        int other = mFixture.startAnotherRouter();
        assertThat(book(mFixture.port(), "order-1").statusCode()).isEqualTo(201);
        HttpResponse<String> again = book(other, "order-1");
        while (again.body().contains("call_in_doubt")) {
            assertThat(again.statusCode()).isEqualTo(409);
            assertThat(again.body()).contains("may_have_run");
            again = book(other, "order-1");
        }
        assertThat(again.statusCode()).isEqualTo(409);
        assertThat(again.body()).contains("call_already_ran", "201");
        assertThat(book(other, "order-2").statusCode()).isEqualTo(201);
        assertThat(mService.requests()).hasSize(2);
    }

    @Test
    public void aBookingWhoseResponseWasLostIsNotRunAgain() {
        int other = mFixture.startAnotherRouter();
        mService.script((request, socket) -> socket.end(Buffer.buffer("HTTP/1.1 201 Cr")));
        assertThat(book(mFixture.port(), "order-1").body()).contains("may_have_run");
        HttpResponse<String> again = book(other, "order-1");
        assertThat(again.statusCode()).isEqualTo(409);
        assertThat(again.body()).contains("call_in_doubt", "may_have_run");
        assertThat(mService.requests()).hasSize(1);
    }

    /** Guards against a booking that runs again because its router died before the answer. */
    @Test
    public void aBookingWhoseRouterDiedBetweenReservationAndAnswerIsNotRunAgain() {
        CompletableFuture<Void> running = new CompletableFuture<>();
        mService.script((request, socket) -> running.complete(null));
        Vertx dying = Vertx.vertx();
        int port = mFixture.startAnotherRouter(dying);
        CompletableFuture<HttpResponse<String>> lost =
                mFixture.sending(mFixture.namedBooking(port, "order-1"));
        RouterFixture.await(running);
        RouterFixture.await(dying.close());
        HttpResponse<String> again = book(mFixture.port(), "order-1");
        assertThat(again.statusCode()).isEqualTo(409);
        assertThat(again.body()).contains("call_in_doubt", "may_have_run");
        assertThat(mService.requests()).hasSize(1);
        boolean isTrue =
                RouterFixture.await(lost.handle((response, e) -> e != null || isInDoubt(response)));
        assertThat(isTrue).as("no answer, or a true one").isTrue();
    }

    private static boolean isInDoubt(HttpResponse<String> response) {
        return response.body().contains("may_have_run");
    }

    @Test
    public void aBookingThatDidNotRunMayBeSentAgain() {
        String refusal = "X-Skylark-Not-Run: true\r\n";
        mService.script(
                (request, socket) ->
                        socket.write(FakeResponses.full(request.attempt(), 503, "{}", refusal)));
        assertThat(book(mFixture.port(), "order-1").body()).contains("not_run");
        mService.script(
                (request, socket) ->
                        socket.write(FakeResponses.full(request.attempt(), 201, "{}")));
        assertThat(book(mFixture.port(), "order-1").statusCode()).isEqualTo(201);
    }

    @Test
    public void withoutTheLedgerABookingIsRefusedAndDoesNotRun() {
        mFixture.control().cutOffLedger(true);
        HttpResponse<String> refused = book(mFixture.port(), "order-1");
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("no_leader", "not_run");
        assertThat(mService.requests()).isEmpty();
        mFixture.control().cutOffLedger(false);
        assertThat(book(mFixture.port(), "order-2").statusCode()).isEqualTo(201);
    }

    @Test(timeOut = 30_000)
    public void theOutcomeOfABookingIsRecordedAfterItsCallerLeft() {
        CompletableFuture<Runnable> pending = new CompletableFuture<>();
        mService.script(
                (request, socket) ->
                        pending.complete(
                                () ->
                                        socket.write(
                                                FakeResponses.full(request.attempt(), 201, ""))));
        AtomicReference<io.vertx.core.net.NetSocket> caller = new AtomicReference<>();
        String raw =
                "POST /bookings/slot-7 HTTP/1.1\r\nHost: r\r\nIdempotency-Key: order-1\r\n"
                        + "Authorization: Bearer "
                        + RouterFixture.KEY
                        + "\r\nContent-Length: 12\r\n\r\n{\"cores\":12}";
        RawCaller.open(mFixture, raw, caller);
        Runnable finish = RouterFixture.await(pending);
        caller.get().close();
        assertThat(book(mFixture.port(), "order-1").body()).contains("call_in_doubt");
        finish.run();
        String last = "";
        while (!last.contains("call_already_ran")) {
            last = book(mFixture.port(), "order-1").body();
            assertThat(last).contains("\"kind\":\"call_");
        }
        assertThat(mService.requests()).hasSize(1);
    }
}
