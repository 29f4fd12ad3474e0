package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.NetSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests endpoints that go on sending bytes that are no response. */
public class EndlessResponseTest {
    private static final long SILENCE_MILLISECONDS = 200;
    private static final long DRIP_INTERVAL_MILLISECONDS = SILENCE_MILLISECONDS / 4;
    private static final String COMMENT = ": none\n\n";
    private static final String HEADER = "X-More: " + "a".repeat(100) + "\r\n";

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(SILENCE_MILLISECONDS, 60_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    /** Guards against a stalled stream that is kept because its engine sends comments. */
    @Test
    public void aStreamThatDripsCommentsIsResumedOnANewConnection() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mFixture.endpoint(
                (request, socket) -> {
                    if (request.method().equals("POST")) {
                        socket.closeHandler(ignored -> closed.complete(null));
                        socket.write(FakeResponses.streamHead(request.attempt()));
                        socket.write(FakeResponses.event(1, "the "));
                        drip(socket, chunk(COMMENT));
                    } else {
                        String stream =
                                FakeResponses.stream(request.attempt(), 1, "the ", "core ", "fits");
                        socket.write(stream);
                    }
                });
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .containsOnlyOnce("id: 1\n")
                .contains("id: 2\n", "id: 3\n")
                .endsWith("data: [DONE]\n\n");
        RouterFixture.await(closed);
    }

    /** Guards against a router that keeps all headers that a faulty endpoint sends. */
    @Test
    public void aHeadWithoutEndFailsTheCallAndItsConnectionIsClosed() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        FakeEndpoint service =
                mFixture.endpoint(
                        (request, socket) -> {
                            socket.closeHandler(ignored -> closed.complete(null));
                            socket.write("HTTP/1.1 200 OK\r\n");
                            sendMore(socket);
                        });
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.booking(RouterFixture.KEY));
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may_have_run");
        RouterFixture.await(closed);
        assertThat(service.requests()).hasSize(1);
    }

    private static void sendMore(NetSocket socket) {
        socket.write(HEADER).onSuccess(ignored -> sendMore(socket));
    }

    private void drip(NetSocket socket, String bytes) {
        long timer =
                mFixture.vertx()
                        .setPeriodic(DRIP_INTERVAL_MILLISECONDS, ignored -> socket.write(bytes));
        socket.exceptionHandler(ignored -> mFixture.vertx().cancelTimer(timer));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
