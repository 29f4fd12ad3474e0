package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests routers that are stopped in order while something else goes wrong. */
public class PlannedStopTest {
    private static final long SILENCE_MILLISECONDS = 60_000;
    private static final String[] RESPONSE = {"the ", "core ", "fits"};

    private final AtomicReference<NetSocket> mOpen = new AtomicReference<>();
    private RouterFixture mFixture;
    private CompletableFuture<Void> mStreaming;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(SILENCE_MILLISECONDS, 30_000);
        mStreaming = new CompletableFuture<>();
        mFixture.endpoint(this::respond);
        mFixture.publish();
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    /** Guards against a stream that is lost because its engine crashes during a planned stop. */
    @Test
    public void aStreamWhoseConnectionBreaksDuringAPlannedStopIsResumedAndArrivesWhole() {
        CompletableFuture<HttpResponse<String>> response = streamDuringStop();
        Future<Void> drained = drain();
        mOpen.get().end(Buffer.buffer("5\r\nid: "));
        assertComplete(RouterFixture.await(response));
        RouterFixture.await(drained);
    }

    /** Guards against a planned stop that waits without end for an engine that is silent. */
    @Test
    public void aStreamThatFallsSilentDuringAPlannedStopIsResumedAndArrivesWhole() {
        CompletableFuture<HttpResponse<String>> response = streamDuringStop();
        Future<Void> drained = drain();
        mFixture.advanceClock(SILENCE_MILLISECONDS + 1);
        assertComplete(RouterFixture.await(response));
        RouterFixture.await(drained);
    }

    /** Guards against a stream that a planned stop cuts because control is out of reach. */
    @Test
    public void aStreamEndsWholeAlthoughControlIsCutOffDuringAPlannedStop() {
        CompletableFuture<HttpResponse<String>> response = streamDuringStop();
        mFixture.control().cutOff();
        Future<Void> drained = drain();
        mFixture.advanceClock(FakeControl.LEASE_MILLISECONDS);
        mOpen.get().write(FakeResponses.event(2, RESPONSE[1]));
        mOpen.get().write(FakeResponses.event(3, RESPONSE[2]));
        mOpen.get().write(FakeResponses.lastEvent(4) + FakeResponses.endMarker());
        assertComplete(RouterFixture.await(response));
        RouterFixture.await(drained);
    }

    /** Guards against a key that goes on to work at a router that is being stopped. */
    @Test
    public void aKeyWithdrawnDuringAPlannedStopEndsItsStreamAndTheStop() {
        CompletableFuture<HttpResponse<String>> response = streamDuringStop();
        Future<Void> drained = drain();
        assertThat(drained.isComplete()).isFalse();
        mFixture.control().publishAsync(mFixture.set("sk-new-0123456789abcdef"));
        assertThat(RouterFixture.await(response).body())
                .contains("\"kind\":\"key_withdrawn\"", "may_have_run")
                .doesNotContain("[DONE]", "id: 2\n");
        RouterFixture.await(drained);
    }

    /** Starts a stream, and returns its response once its first event was sent. */
    private CompletableFuture<HttpResponse<String>> streamDuringStop() {
        CompletableFuture<Void> firstEvent = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> response =
                mFixture.sending(mFixture.chat(RouterFixture.KEY, true), firstEvent);
        RouterFixture.await(mStreaming);
        RouterFixture.await(firstEvent);
        return response;
    }

    /** Starts the stop, and returns once the router is unready. */
    private Future<Void> drain() {
        Future<Void> drained = mFixture.router().drain();
        assertThat(mFixture.eventualStatus("/readyz", 503)).isEqualTo(503);
        return drained;
    }

    private void respond(FakeRequest request, NetSocket socket) {
        if (request.method().equals("POST")) {
            mOpen.set(socket);
            socket.write(FakeResponses.streamHead(request.attempt()));
            socket.write(FakeResponses.event(1, RESPONSE[0]));
            mStreaming.complete(null);
        } else if (request.method().equals("GET")) {
            int after = Integer.parseInt(request.uri().replaceAll(".*after=", ""));
            socket.write(FakeResponses.stream(request.attempt(), after, RESPONSE));
        } else {
            socket.write(FakeResponses.full(request.attempt(), 200, "{}"));
        }
    }

    private static void assertComplete(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .containsOnlyOnce("id: 1\n")
                .containsOnlyOnce("id: 2\n")
                .containsOnlyOnce("id: 3\n")
                .endsWith("data: [DONE]\n\n");
    }
}
