package org.skylarkbend.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what an exchange reports, and which bytes belong to its response. */
public class ExchangeTest extends ExchangeFixture {
    private static final int BIG_BODY_BYTES = 32 * 1024 * 1024;

    private RawServer server(String response) {
        return new RawServer(mVertx, (request, socket) -> socket.write(response));
    }

    @Test
    public void theEventsOfAnExchangeComeInOrder() throws Exception {
        int port = listen(server(OK));
        RecordedExchange exchange = exchange(client(1), port);
        assertThat(exchange.names())
                .containsExactlyInAnyOrder(
                        "Sending", "Sent", "HeadReceived", "ChunkReceived", "Ended")
                .containsSubsequence("Sending", "HeadReceived", "ChunkReceived", "Ended");
        assertThat(exchange.status()).isEqualTo(200);
    }

    @Test
    public void aPausedExchangeLosesAndReordersNothing() throws Exception {
        String body =
                IntStream.range(0, 50_000).mapToObj(i -> i + ";").collect(Collectors.joining());
        int port =
                listen(
                        server(
                                "HTTP/1.1 200 OK\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body));
        EndpointClient client = client(1);
        AtomicReference<RecordedExchange> self = new AtomicReference<>();
        RecordedExchange exchange =
                new RecordedExchange(
                        request(port, HttpMethod.GET, "/", Buffer.buffer()),
                        event -> {
                            if (!(event instanceof ExchangeEvent.Ended)) {
                                Exchange own = self.get().exchange();
                                own.pause();
                                mVertx.runOnContext(ignored -> own.resume());
                            }
                        });
        self.set(exchange);
        onContext(
                () -> {
                    client.start(exchange.exchange());
                    return exchange;
                });
        await(exchange.end());
        assertThat(exchange.body()).isEqualTo(body);
        assertThat(exchange.isComplete()).isTrue();
        assertThat(exchange(client, port).body()).as("on the same connection").isEqualTo(body);
    }

    @Test
    public void aPausedExchangeIsNotNotifiedUntilItIsResumed() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(1);
        RecordedExchange exchange =
                new RecordedExchange(
                        request(port, HttpMethod.GET, "/", Buffer.buffer()), event -> {});
        onContext(
                () -> {
                    exchange.exchange().pause();
                    client.start(exchange.exchange());
                    return exchange;
                });
        awaitUntil(() -> server.requests().size() == 1);
        assertThat(exchange.names()).isEmpty();
        onContext(
                () -> {
                    exchange.exchange().resume();
                    return exchange;
                });
        assertThat(await(exchange.end()).body()).isEqualTo("done");
    }

    @Test
    public void theResponseToAHeadRequestHasNoBody() throws Exception {
        RawServer server =
                new RawServer(
                        mVertx,
                        (request, socket) ->
                                socket.write(
                                        request.head().startsWith("HEAD")
                                                ? OK.replace("done", "")
                                                : OK));
        int port = listen(server);
        EndpointClient client = client(1);
        RecordedExchange head =
                start(client, request(port, HttpMethod.HEAD, "/", Buffer.buffer()), event -> {});
        assertThat(await(head.end()).isComplete()).isTrue();
        assertThat(head.body()).isEmpty();
        assertThat(exchange(client, port).body()).isEqualTo("done");
        assertThat(server.connections()).isEqualTo(1);
    }

    @Test
    public void interimResponsesAreNotReported() throws Exception {
        RawServer server =
                server(
                        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"
                                + "\r\n"
                                + OK);
        int port = listen(server);
        EndpointClient client = client(1);
        for (int i = 0; i < 2; i++) {
            RecordedExchange exchange = exchange(client, port);
            assertThat(exchange.status()).isEqualTo(200);
            assertThat(exchange.body()).isEqualTo("done");
        }
        assertThat(server.connections()).isEqualTo(1);
        assertThat(mStrayReceptions.getCount()).isZero();
    }

    /** Guards against the rest of a request in front of the next one on its connection. */
    @Test
    public void aConnectionWhoseResponseCameBeforeTheRequestWasWrittenIsNotUsedAgain()
            throws Exception {
        AtomicReference<NetSocket> slow = new AtomicReference<>();
        int port =
                await(
                                mVertx.createNetServer()
                                        .connectHandler(
                                                socket -> {
                                                    if (slow.compareAndSet(null, socket)) {
                                                        socket.pause();
                                                    }
                                                    socket.write(OK);
                                                })
                                        .listen(0, HOST))
                        .actualPort();
        EndpointClient client = client(1);
        RecordedExchange early =
                start(
                        client,
                        request(
                                port,
                                HttpMethod.POST,
                                "/",
                                Buffer.buffer(new byte[BIG_BODY_BYTES])),
                        event -> {});
        assertThat(await(early.end()).isComplete()).isTrue();
        assertThat(early.names()).doesNotContain("Sent");
        NetSocket first = slow.get();
        RecordedExchange next = exchange(client, port);
        assertThat(next.body()).isEqualTo("done");
        assertThat(slow.get()).isSameAs(first);
    }

    /** Guards against connections and bodies that stay after their exchanges are cancelled. */
    @Test
    public void aCancelledExchangeClosesAConnectionThatItsEndpointDoesNotRead() throws Exception {
        AtomicReference<NetSocket> slow = new AtomicReference<>();
        int port =
                await(
                                mVertx.createNetServer()
                                        .connectHandler(
                                                socket -> {
                                                    if (slow.compareAndSet(null, socket)) {
                                                        socket.pause();
                                                    } else {
                                                        socket.write(OK);
                                                    }
                                                })
                                        .listen(0, HOST))
                        .actualPort();
        EndpointClient client = client(1);
        RecordedExchange cancelled =
                start(
                        client,
                        request(
                                port,
                                HttpMethod.POST,
                                "/",
                                Buffer.buffer(new byte[BIG_BODY_BYTES])),
                        event -> {});
        RecordedExchange waiting = start(client, port, "/");
        awaitUntil(() -> cancelled.names().contains("Sending"));
        cancel(cancelled);
        assertThat(await(waiting.end()).body()).isEqualTo("done");
    }

    /** Guards against a body that its first exchange consumes or releases. */
    @Test
    public void aBodyCanBeSentAgainAndStaysAsItIs() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(1);
        String text =
                IntStream.range(0, 50_000).mapToObj(i -> i + ";").collect(Collectors.joining());
        Buffer whole = Buffer.buffer(text);
        for (Buffer body : List.of(Buffer.buffer("small"), whole, whole.slice(7, 40_000))) {
            String expected = body.toString();
            for (int i = 0; i < 2; i++) {
                ExchangeRequest request = request(port, HttpMethod.POST, "/", body);
                assertThat(await(start(client, request, event -> {}).end()).isComplete()).isTrue();
            }
            int sent = server.requests().size();
            assertThat(server.requests().subList(sent - 2, sent))
                    .extracting(RawServer.Request::body)
                    .containsExactly(expected, expected);
            assertThat(body.toString()).isEqualTo(expected);
        }
    }

    /** Guards against an endpoint that waits for the body of a request that has none. */
    @Test
    public void anEmptyBodyHasALengthWhereTheMethodMayHaveABody() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(1);
        for (HttpMethod method : List.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH)) {
            ExchangeRequest request = request(port, method, "/", Buffer.buffer());
            await(start(client, request, event -> {}).end());
        }
        exchange(client, port);
        assertThat(server.requests())
                .extracting(request -> request.head().toLowerCase().contains("content-length: 0"))
                .containsExactly(true, true, true, false);
    }

    /** Guards against a new connection for each request whose response has no body. */
    @Test
    public void aResponseThatNeverHasABodyKeepsItsConnection() throws Exception {
        for (HttpMethod method : List.of(HttpMethod.GET, HttpMethod.HEAD)) {
            String status = method.equals(HttpMethod.HEAD) ? "200 OK" : "204 No Content";
            RawServer server = server("HTTP/1.1 " + status + "\r\n\r\n");
            int port = listen(server);
            EndpointClient client = client(1);
            for (int i = 0; i < 3; i++) {
                ExchangeRequest request = request(port, method, "/", Buffer.buffer());
                assertThat(await(start(client, request, event -> {}).end()).isComplete()).isTrue();
            }
            assertThat(server.connections()).as(status).isEqualTo(1);
        }
    }

    /** Guards against bytes between two responses that become part of the second. */
    @Test
    public void bytesOnAnUnusedConnectionAreCountedAndCloseIt() throws Exception {
        AtomicReference<NetSocket> last = new AtomicReference<>();
        RawServer server =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            last.set(socket);
                            socket.write(OK);
                        });
        int port = listen(server);
        EndpointClient client = client(1);
        exchange(client, port);
        last.get().write("HTTP/1.1 2");
        awaitUntil(() -> server.openConnections() == 0);
        assertThat(mStrayReceptions.getCount()).isEqualTo(1);
        assertThat(exchange(client, port).isComplete()).isTrue();
        assertThat(server.connections()).isEqualTo(2);
    }

    /** Guards against bytes behind a response that become part of the next. */
    @Test
    public void bytesBehindAResponseAreCountedAndTheNextExchangeHasANewConnection()
            throws Exception {
        RawServer server = server(OK + OK.substring(0, 30));
        int port = listen(server);
        EndpointClient client = client(1);
        for (int i = 1; i <= 3; i++) {
            RecordedExchange exchange = exchange(client, port);
            assertThat(exchange.isComplete()).isTrue();
            assertThat(exchange.body()).isEqualTo("done");
            assertThat(mStrayReceptions.getCount()).isEqualTo(i);
            assertThat(server.connections()).isEqualTo(i);
        }
    }

    @DataProvider
    private Object[][] joinedHeads() {
        String own = "HTTP/1.1 404 Unknown\r\nContent-Length: 4\r\n\r\nfail";
        return new Object[][] {
            {"in the reason phrase", "HTTP/1.1 200 O" + own},
            {"in place of the reason phrase", "HTTP/1.1 200 " + own},
            {"in the value of a header", "HTTP/1.1 200 OK\r\nETag: a" + own},
            {"in the name of a header", "HTTP/1.1 200 OK\r\nETHTTP/1.1 404: x\r\n\r\n"},
            {"in the status line", "HTTP/1.1 20" + own},
            {"as a line of its own", "HTTP/1.1 200 OK\r\n" + own}
        };
    }

    /** Guards against a response made of the beginning of one and the rest of another. */
    @Test(dataProvider = "joinedHeads")
    public void aHeadWithASecondStatusLineIsABrokenResponse(String name, String response)
            throws Exception {
        RawServer server = server(response);
        int port = listen(server);
        RecordedExchange exchange = exchange(client(1), port);
        assertThat(exchange.lastEvent()).isInstanceOf(ExchangeEvent.Lost.class);
        assertThat(exchange.names()).doesNotContain("HeadReceived");
        awaitUntil(() -> server.openConnections() == 0);
    }

    @Test
    public void aHeadThatIsTooLargeIsABrokenResponse() throws Exception {
        RawServer server = server("HTTP/1.1 200 OK\r\nETag: " + "x".repeat(2_000) + "\r\n\r\n");
        int port = listen(server);
        assertThat(exchange(client(1), port).lastEvent()).isInstanceOf(ExchangeEvent.Lost.class);
        awaitUntil(() -> server.openConnections() == 0);
    }

    @Test
    public void aRequestThatWasNotAnsweredIsLostWhenItsConnectionCloses() throws Exception {
        int port = listen(new RawServer(mVertx, (request, socket) -> socket.close()));
        RecordedExchange exchange = exchange(client(1), port);
        assertThat(exchange.lastEvent()).isInstanceOf(ExchangeEvent.Lost.class);
    }

    @DataProvider
    private Object[][] invalidRequests() {
        MultiMap valid = MultiMap.caseInsensitiveMultiMap().add("Host", "endpoint");
        MultiMap value = MultiMap.caseInsensitiveMultiMap().add("X-Note", "a\r\nX: y");
        MultiMap name = MultiMap.caseInsensitiveMultiMap().add("X Note", "a");
        return new Object[][] {
            {"the URI", "/ \r\nX: y", valid},
            {"the value of a header", "/", value},
            {"the name of a header", "/", name}
        };
    }

    /** Guards against a call that counts as one that may have run although nothing was sent. */
    @Test(dataProvider = "invalidRequests")
    public void aRequestThatCannotBeEncodedIsNotSentAndItsConnectionServesTheNext(
            String part, String uri, MultiMap headers) throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(1);
        for (int i = 0; i < 2; i++) {
            ExchangeRequest invalid =
                    new ExchangeRequest(
                            SocketAddress.inetSocketAddress(port, HOST),
                            HttpMethod.GET,
                            uri,
                            headers,
                            Buffer.buffer());
            RecordedExchange broken = start(client, invalid, event -> {});
            assertThat(await(broken.end()).names())
                    .as("on a connection that served %d", i)
                    .containsExactly("Rejected");
            assertThat(exchange(client, port).isComplete()).isTrue();
        }
        assertThat(server.requests()).hasSize(2);
        assertThat(server.connections()).isEqualTo(1);
    }
}
