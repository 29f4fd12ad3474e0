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
    private static final String[] ANSWER = {"the ", "core ", "fits"};
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
                                String whole = FakeAnswers.stream(request.attempt(), 0, ANSWER);
                                socket.end(Buffer.buffer(whole.substring(0, cutBytes.get())));
                            } else {
                                resume(request, socket);
                            }
                        });
        mFixture.publish();
        int wholeBytes = FakeAnswers.stream("entry-1-19a0b0c0d0e-1.1", 0, ANSWER).length() - 8;
        for (int bytes = 0; bytes < wholeBytes; bytes += 3) {
            cutBytes.set(bytes);
            assertWhole(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
        }
        assertThat(engine.requests().stream().map(FakeRequest::method)).contains("GET");
    }

    @Test
    public void aStreamThatWentSilentIsResumedOnANewConnection() {
        restartRouter(200, 2_000);
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        socket.write(FakeAnswers.streamHead(request.attempt()));
                        socket.write(FakeAnswers.event(1, ANSWER[0]));
                    } else {
                        resume(request, socket);
                    }
                });
        mFixture.publish();
        assertWhole(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
    }

    @Test
    public void missingAndRepeatedEventsAreMadeGood() {
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        socket.write(FakeAnswers.streamHead(request.attempt()));
                        socket.write(FakeAnswers.event(1, ANSWER[0]));
                        socket.write(FakeAnswers.event(1, ANSWER[0]));
                        socket.write(FakeAnswers.event(3, ANSWER[2]));
                        socket.write(FakeAnswers.lastEvent(4) + FakeAnswers.endMark());
                    } else {
                        resume(request, socket);
                    }
                });
        mFixture.publish();
        assertWhole(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
    }

    @Test
    public void aBrokenStreamOfARepeatableCallIsReplayedByAnotherEngine() {
        AtomicInteger calls = new AtomicInteger();
        FakeEndpoint.Script script = crashingOnce(calls, ANSWER);
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        assertWhole(mFixture.send(mFixture.chat(RouterFixture.KEY, true, ",\"seed\":7")));
        assertThat(calls).hasValue(2);
    }

    @Test
    public void aBrokenStreamThatCannotBeRepeatedEndsInAClearError() {
        FakeEndpoint.Script script = crashingOnce(new AtomicInteger(), ANSWER);
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        HttpResponse<String> answer = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        assertBrokenAfterFirstEvent(answer, "stream_broken");
    }

    @Test
    public void aReplayThatDiffersEndsInAClearError() {
        FakeEndpoint.Script script =
                crashingOnce(new AtomicInteger(), "a ", "different ", "answer");
        mFixture.endpoint(script);
        mFixture.endpoint(script);
        mFixture.publish();
        HttpResponse<String> answer =
                mFixture.send(mFixture.chat(RouterFixture.KEY, true, ",\"temperature\":0"));
        assertBrokenAfterFirstEvent(answer, "stream_broken");
    }

    @Test
    public void aKeyWithdrawnWhileAnEngineAnswersEndsTheStreamAndTheWork() {
        CompletableFuture<Void> streaming = new CompletableFuture<>();
        CompletableFuture<String> cancelled = new CompletableFuture<>();
        mFixture.endpoint(slowEngine(streaming, cancelled));
        mFixture.publish();
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.sending(mFixture.chat(RouterFixture.KEY, true));
        RouterFixture.await(streaming);
        mFixture.publish(mFixture.set("sk-new-0123456789abcdef"));
        assertBrokenAfterFirstEvent(RouterFixture.await(answer), "key_withdrawn");
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
                                                FakeAnswers.whole(request.attempt(), 201, "{}"))));
        mFixture.publish();
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.sending(mFixture.booking(RouterFixture.KEY));
        Runnable finish = RouterFixture.await(pending);
        mFixture.publish(mFixture.set("sk-new-0123456789abcdef"));
        finish.run();
        assertThat(RouterFixture.await(answer).statusCode()).isEqualTo(201);
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
                    socket.write(FakeAnswers.streamHead(request.attempt()));
                    socket.write(FakeAnswers.event(1, ANSWER[0]));
                    open.set(socket);
                    streaming.complete(null);
                });
        mFixture.publish();
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.sending(mFixture.chat(RouterFixture.KEY, true));
        RouterFixture.await(streaming);
        var drained = mFixture.router().drain();
        assertThat(mFixture.eventualStatus("/readyz", 503)).isEqualTo(503);
        assertThat(drained.isComplete()).isFalse();
        open.get().write(FakeAnswers.event(2, ANSWER[1]) + FakeAnswers.event(3, ANSWER[2]));
        open.get().write(FakeAnswers.lastEvent(4) + FakeAnswers.endMark());
        assertWhole(RouterFixture.await(answer));
        RouterFixture.await(drained);
    }

    private static FakeEndpoint.Script crashingOnce(AtomicInteger calls, String... second) {
        return (request, socket) -> {
            if (!request.method().equals("POST")) {
                socket.end(Buffer.buffer(UNKNOWN));
            } else if (calls.incrementAndGet() == 1) {
                socket.write(FakeAnswers.streamHead(request.attempt()));
                socket.end(Buffer.buffer(FakeAnswers.event(1, ANSWER[0])));
            } else {
                socket.write(FakeAnswers.stream(request.attempt(), 0, second));
            }
        };
    }

    private static FakeEndpoint.Script slowEngine(
            CompletableFuture<Void> streaming, CompletableFuture<String> cancelled) {
        return (request, socket) -> {
            if (request.method().equals("DELETE")) {
                cancelled.complete(request.uri());
                socket.write(FakeAnswers.whole(request.attempt(), 200, "{}"));
                return;
            }
            socket.write(FakeAnswers.streamHead(request.attempt()));
            if (request.method().equals("POST")) {
                socket.write(FakeAnswers.event(1, ANSWER[0]));
                streaming.complete(null);
            }
        };
    }

    private static void resume(FakeRequest request, NetSocket socket) {
        int after = Integer.parseInt(request.uri().replaceAll(".*after=", ""));
        socket.write(FakeAnswers.stream(request.attempt(), after, ANSWER));
    }

    private static void assertWhole(HttpResponse<String> answer) {
        assertThat(answer.statusCode()).isEqualTo(200);
        String contents = answer.body().replaceAll("(?s).*?\"content\":\"([a-z ]*)\"", "$1");
        assertThat(contents).startsWith("the core fits");
        assertThat(answer.body()).contains("id: 4\n").endsWith("data: [DONE]\n\n");
        assertThat(answer.body().split("id: 1\n")).hasSize(2);
    }

    private static void assertBrokenAfterFirstEvent(HttpResponse<String> answer, String kind) {
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body())
                .contains("\"content\":\"the \"", "event: error\n", "\"kind\":\"" + kind + "\"")
                .contains("may_have_run")
                .doesNotContain("[DONE]", "id: 2\n");
    }
}
