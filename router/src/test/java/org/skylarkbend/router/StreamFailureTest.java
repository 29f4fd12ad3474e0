package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests streams that break, stall or lose events, and keys withdrawn during a stream. */
public class StreamFailureTest {
    private static final String[] RESPONSE = {"the ", "core ", "fits"};
    private static final String UNKNOWN =
            "HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(10_000, 30_000);
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
    public void aStreamCutAtAnyByteIsResumedAndArrivesWhole() {
        AtomicInteger cutBytes = new AtomicInteger();
        FakeEndpoint engine =
                mFixture.endpoint(
                        (request, socket) -> {
                            if (request.method().equals("POST")) {
                                String full = FakeResponses.stream(request.attempt(), 0, RESPONSE);
                                socket.end(Buffer.buffer(full.substring(0, cutBytes.get())));
                            } else {
                                resume(request, socket);
                            }
                        });
        mFixture.publish();
        int fullBytes = FakeResponses.stream("entry-1-19a0b0c0d0e-1.1", 0, RESPONSE).length() - 8;
        for (int bytes = 0; bytes < fullBytes; bytes += 3) {
            cutBytes.set(bytes);
            assertComplete(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
        }
        assertThat(engine.requests().stream().map(FakeRequest::method)).contains("GET");
    }

    @Test
    public void aStalledStreamIsResumedOnANewConnection() {
        restartRouter(200, 2_000);
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        socket.write(FakeResponses.streamHead(request.attempt()));
                        socket.write(FakeResponses.event(1, RESPONSE[0]));
                    } else {
                        resume(request, socket);
                    }
                });
        mFixture.publish();
        assertComplete(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
    }

    @Test
    public void missingAndRepeatedEventsAreRecoveredByResuming() {
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        socket.write(FakeResponses.streamHead(request.attempt()));
                        socket.write(FakeResponses.event(1, RESPONSE[0]));
                        socket.write(FakeResponses.event(1, RESPONSE[0]));
                        socket.write(FakeResponses.event(3, RESPONSE[2]));
                        socket.write(FakeResponses.lastEvent(4) + FakeResponses.endMarker());
                    } else {
                        resume(request, socket);
                    }
                });
        mFixture.publish();
        assertComplete(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
    }

    @Test
    public void aBrokenStreamOfARepeatableCallIsReplayedByAnotherEngine() {
        AtomicInteger calls = new AtomicInteger();
        FakeEndpoint.Script script = crashingOnce(calls, RESPONSE);
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        assertComplete(mFixture.send(mFixture.chat(RouterFixture.KEY, true, ",\"seed\":7")));
        assertThat(calls).hasValue(2);
    }

    @Test
    public void aBrokenStreamThatCannotBeRepeatedEndsInAClearError() {
        FakeEndpoint.Script script = crashingOnce(new AtomicInteger(), RESPONSE);
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        assertBrokenAfterFirstEvent(response, "stream_broken");
    }

    @Test
    public void aReplayThatDiffersEndsInAClearError() {
        FakeEndpoint.Script script =
                crashingOnce(new AtomicInteger(), "a ", "different ", "answer");
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        HttpResponse<String> response =
                mFixture.send(mFixture.chat(RouterFixture.KEY, true, ",\"temperature\":0"));
        assertBrokenAfterFirstEvent(response, "stream_broken");
    }

    @Test
    public void aKeyWithdrawnDuringAStreamEndsTheStreamAndCancelsTheAttempt() {
        CompletableFuture<String> cancelled = new CompletableFuture<>();
        mFixture.endpoint(slowEngine(new CompletableFuture<>(), cancelled));
        mFixture.publish();
        CompletableFuture<Void> firstEvent = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> response =
                mFixture.sending(mFixture.chat(RouterFixture.KEY, true), firstEvent);
        RouterFixture.await(firstEvent);
        mFixture.publish(mFixture.set("sk-new-0123456789abcdef"));
        assertBrokenAfterFirstEvent(RouterFixture.await(response), "key_withdrawn");
        assertThat(RouterFixture.await(cancelled)).startsWith("/v1/streams/entry-1-");
        HttpResponse<String> next = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        assertThat(next.statusCode()).isEqualTo(401);
    }

    @Test
    public void aBookingSentBeforeItsKeyWasWithdrawnStillGetsItsOutcome() {
        CompletableFuture<Runnable> pending = new CompletableFuture<>();
        mFixture.endpoint(
                (request, socket) ->
                        pending.complete(
                                () ->
                                        socket.write(
                                                FakeResponses.full(request.attempt(), 201, "{}"))));
        mFixture.publish();
        CompletableFuture<HttpResponse<String>> response =
                mFixture.sending(mFixture.booking(RouterFixture.KEY));
        Runnable finish = RouterFixture.await(pending);
        mFixture.publish(mFixture.set("sk-new-0123456789abcdef"));
        finish.run();
        assertThat(RouterFixture.await(response).statusCode()).isEqualTo(201);
    }

    @Test
    public void aCallerThatLeavesStopsTheWorkOfTheEngine() {
        CompletableFuture<Void> streaming = new CompletableFuture<>();
        CompletableFuture<String> cancelled = new CompletableFuture<>();
        mFixture.endpoint(slowEngine(streaming, cancelled));
        mFixture.publish();
        AtomicReference<NetSocket> caller = new AtomicReference<>();
        RawCaller.open(mFixture, mFixture.rawChat(), caller);
        RouterFixture.await(streaming);
        caller.get().close();
        assertThat(RouterFixture.await(cancelled)).startsWith("/v1/streams/entry-1-");
    }

    @Test
    public void aRouterThatEndsFinishesItsStreamsAndTakesNoNewCalls() {
        restartRouter(60_000, 30_000);
        CompletableFuture<Void> streaming = new CompletableFuture<>();
        AtomicReference<NetSocket> open = new AtomicReference<>();
        mFixture.endpoint(
                (request, socket) -> {
                    socket.write(FakeResponses.streamHead(request.attempt()));
                    socket.write(FakeResponses.event(1, RESPONSE[0]));
                    open.set(socket);
                    streaming.complete(null);
                });
        mFixture.publish();
        CompletableFuture<HttpResponse<String>> response =
                mFixture.sending(mFixture.chat(RouterFixture.KEY, true));
        RouterFixture.await(streaming);
        var drained = mFixture.router().drain();
        assertThat(mFixture.eventualStatus("/readyz", 503)).isEqualTo(503);
        assertThat(drained.isComplete()).isFalse();
        open.get().write(FakeResponses.event(2, RESPONSE[1]) + FakeResponses.event(3, RESPONSE[2]));
        open.get().write(FakeResponses.lastEvent(4) + FakeResponses.endMarker());
        assertComplete(RouterFixture.await(response));
        RouterFixture.await(drained);
    }

    private static FakeEndpoint.Script crashingOnce(AtomicInteger calls, String... second) {
        return (request, socket) -> {
            if (!request.method().equals("POST")) {
                socket.end(Buffer.buffer(UNKNOWN));
            } else if (calls.incrementAndGet() == 1) {
                socket.write(FakeResponses.streamHead(request.attempt()));
                socket.end(Buffer.buffer(FakeResponses.event(1, RESPONSE[0])));
            } else {
                socket.write(FakeResponses.stream(request.attempt(), 0, second));
            }
        };
    }

    private static FakeEndpoint.Script slowEngine(
            CompletableFuture<Void> streaming, CompletableFuture<String> cancelled) {
        return (request, socket) -> {
            if (request.method().equals("DELETE")) {
                cancelled.complete(request.uri());
                socket.write(FakeResponses.full(request.attempt(), 200, "{}"));
                return;
            }
            socket.write(FakeResponses.streamHead(request.attempt()));
            if (request.method().equals("POST")) {
                socket.write(FakeResponses.event(1, RESPONSE[0]));
                streaming.complete(null);
            }
        };
    }

    private static void resume(FakeRequest request, NetSocket socket) {
        int after = Integer.parseInt(request.uri().replaceAll(".*after=", ""));
        socket.write(FakeResponses.stream(request.attempt(), after, RESPONSE));
    }

    private static void assertComplete(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(200);
        String contents = response.body().replaceAll("(?s).*?\"content\":\"([a-z ]*)\"", "$1");
        assertThat(contents).startsWith("the core fits");
        assertThat(response.body()).contains("id: 4\n").endsWith("data: [DONE]\n\n");
        assertThat(response.body().split("id: 1\n")).hasSize(2);
    }

    private static void assertBrokenAfterFirstEvent(HttpResponse<String> response, String kind) {
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .contains("\"content\":\"the \"", "event: error\n", "\"kind\":\"" + kind + "\"")
                .contains("may_have_run")
                .doesNotContain("[DONE]", "id: 2\n");
    }
}
