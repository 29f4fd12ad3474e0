package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams of engines that are silent and then go on. */
public class SilentEngineTest {
    private static final long SILENCE_LIMIT_MILLISECONDS = 200;
    private static final long SILENCE_MILLISECONDS = 700;
    private static final int CALLS = 20;
    private static final String[] RESPONSE = {"the ", "core ", "fits"};

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(SILENCE_LIMIT_MILLISECONDS, 10_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    /** What an engine does when it is asked to resume a stream that it still sends. */
    private enum Resuming {
        REFUSED((request, socket) -> socket.write(empty(request, 503))),
        UNKNOWN((request, socket) -> socket.write(empty(request, 404))),
        CLOSED((request, socket) -> socket.close()),
        MUTE((request, socket) -> {});

        private final BiConsumer<FakeRequest, NetSocket> mScript;

        Resuming(BiConsumer<FakeRequest, NetSocket> script) {
            mScript = script;
        }

        private static String empty(FakeRequest request, int status) {
            return FakeResponses.full(request.attempt(), status, "");
        }
    }

    @DataProvider
    private Object[] resuming() {
        return Resuming.values();
    }

    /** Guards against a sound stream that is given up before it was resumed. */
    @Test(dataProvider = "resuming")
    public void aSilentStreamThatCannotBeResumedArrivesWholeFromItsFirstConnection(
            Resuming resuming) {
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        stream(request, socket);
                    } else {
                        resuming.mScript.accept(request, socket);
                    }
                });
        mFixture.publish();
        assertWhole(mFixture.send(mFixture.chat(RouterFixture.KEY, true)));
    }

    /** Guards against events that come twice when both connections go on. */
    @Test
    public void aStreamThatBothConnectionsContinueArrivesOnce() {
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        stream(request, socket);
                    } else {
                        int after = Integer.parseInt(request.uri().replaceAll(".*after=", ""));
                        String rest = FakeResponses.stream(request.attempt(), after, RESPONSE);
                        mFixture.vertx()
                                .setTimer(
                                        SILENCE_MILLISECONDS - SILENCE_LIMIT_MILLISECONDS - 50,
                                        id -> socket.write(rest));
                    }
                });
        mFixture.publish();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            responses.add(mFixture.sending(mFixture.chat(RouterFixture.KEY, true)));
        }
        responses.forEach(response -> assertWhole(RouterFixture.await(response)));
    }

    private static void assertWhole(HttpResponse<String> response) {
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .containsOnlyOnce("id: 1\n")
                .containsOnlyOnce("id: 2\n")
                .containsOnlyOnce("id: 3\n")
                .containsOnlyOnce("id: 4\n")
                .endsWith("data: [DONE]\n\n");
    }

    private void stream(FakeRequest request, NetSocket socket) {
        socket.write(FakeResponses.streamHead(request.attempt()));
        socket.write(FakeResponses.event(1, RESPONSE[0]));
        mFixture.vertx()
                .setTimer(
                        SILENCE_MILLISECONDS,
                        id -> {
                            socket.write(FakeResponses.event(2, RESPONSE[1]));
                            socket.write(FakeResponses.event(3, RESPONSE[2]));
                            String end = FakeResponses.lastEvent(4) + FakeResponses.endMarker();
                            socket.write(Buffer.buffer(end));
                        });
    }
}
