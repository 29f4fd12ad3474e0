package org.skylarkbend.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.Test;

/** Tests which connection an exchange gets, for how long it is kept, and who waits for it. */
public class ConnectionPoolTest extends ExchangeFixture {
    private final Map<String, NetSocket> mHeld = new ConcurrentHashMap<>();

    /** Returns a server that holds its responses back until the test sends them. */
    private RawServer holdingServer() {
        mHeld.clear();
        return new RawServer(
                mVertx, (request, socket) -> mHeld.put(request.head().split(" ")[1], socket));
    }

    private RawServer server(String response) {
        return new RawServer(mVertx, (request, socket) -> socket.write(response));
    }

    @Test
    public void exchangesOneAfterTheOtherShareAConnection() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(4);
        for (int i = 0; i < 5; i++) {
            assertThat(exchange(client, port).body()).isEqualTo("done");
        }
        assertThat(server.connections()).isEqualTo(1);
    }

    @Test
    public void waitingExchangesAreServedInOrderOverTheMaximumOfConnections() throws Exception {
        RawServer server = holdingServer();
        int port = listen(server);
        EndpointClient client = client(2);
        List<RecordedExchange> started = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            started.add(start(client, port, "/" + i));
        }
        for (int i = 0; i < 6; i++) {
            String uri = "/" + i;
            awaitUntil(() -> mHeld.containsKey(uri));
            int sent = Math.min(i + 2, 6);
            awaitUntil(() -> server.requests().size() == sent);
            mHeld.get(uri).write(OK);
            assertThat(await(started.get(i).end()).isComplete()).isTrue();
        }
        assertThat(server.connections()).isEqualTo(2);
    }

    @Test
    public void anExchangeWithoutConnectionInTimeFailsAndIsNeverSent() throws Exception {
        RawServer server = holdingServer();
        int port = listen(server);
        EndpointClient client = client(1, 200, KEEP_ALIVE_MILLISECONDS);
        RecordedExchange first = start(client, port, "/first");
        awaitUntil(() -> mHeld.containsKey("/first"));
        RecordedExchange late = await(start(client, port, "/late").end());
        assertThat(late.names()).containsExactly("NotConnected");
        mHeld.get("/first").write(OK);
        assertThat(await(first.end()).isComplete()).isTrue();
        RecordedExchange next = start(client, port, "/next");
        awaitUntil(() -> mHeld.containsKey("/next"));
        assertThat(mHeld).doesNotContainKey("/late");
        assertThat(next.names()).startsWith("Sending");
    }

    @Test
    public void eachRefusedConnectionFailsOneWaitingExchange() throws Exception {
        int port = LoopbackPorts.next();
        EndpointClient client = client(2);
        List<RecordedExchange> started = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            started.add(start(client, port, "/" + i));
        }
        for (RecordedExchange exchange : started) {
            assertThat(await(exchange.end()).names()).containsExactly("NotConnected");
        }
        await(
                mVertx.createHttpServer()
                        .requestHandler(request -> request.response().end("back"))
                        .listen(port, HOST));
        assertThat(exchange(client, port).body()).isEqualTo("back");
    }

    /** Guards against a failure that another exchange's connection has met. */
    @Test
    public void aFailedConnectionLeavesAnExchangeWhoseConnectionIsStillBeingOpened()
            throws Exception {
        List<Promise<NetSocket>> connecting = new ArrayList<>();
        EndpointDialer dialer =
                endpoint -> {
                    Promise<NetSocket> promise = Promise.promise();
                    connecting.add(promise);
                    return promise.future();
                };
        ConnectionPool pool =
                new ConnectionPool(
                        mVertx,
                        dialer,
                        SocketAddress.inetSocketAddress(1, HOST),
                        new ExchangeOptions(4, 10_000, KEEP_ALIVE_MILLISECONDS, 1_024),
                        mNowMilliseconds::get,
                        mStrayReceptions,
                        address -> {});
        RecordedExchange first = recorded();
        RecordedExchange second = recorded();
        onContext(
                () -> {
                    pool.submit(first.exchange());
                    pool.submit(second.exchange());
                    first.exchange().cancel();
                    connecting.get(0).fail("refused");
                    return pool;
                });
        assertThat(second.names()).as("its own connection may come").isEmpty();
        onContext(
                () -> {
                    connecting.get(1).fail("refused");
                    return pool;
                });
        assertThat(second.names()).containsExactly("NotConnected");
        assertThat(first.names()).isEmpty();
    }

    private static RecordedExchange recorded() {
        return new RecordedExchange(request(1, HttpMethod.GET, "/", Buffer.buffer()), event -> {});
    }

    @Test
    public void anExchangeThatIsCancelledWhileItWaitsSendsNothing() throws Exception {
        RawServer server = holdingServer();
        int port = listen(server);
        EndpointClient client = client(1);
        RecordedExchange first = start(client, port, "/first");
        RecordedExchange waiting = start(client, port, "/waiting");
        RecordedExchange last = start(client, port, "/last");
        cancel(waiting);
        awaitUntil(() -> mHeld.containsKey("/first"));
        mHeld.get("/first").write(OK);
        await(first.end());
        awaitUntil(() -> mHeld.containsKey("/last"));
        mHeld.get("/last").write(OK);
        assertThat(await(last.end()).isComplete()).isTrue();
        assertThat(server.requests()).hasSize(2);
        assertThat(waiting.names()).isEmpty();
    }

    @Test
    public void aCancelledExchangeClosesItsConnectionAndMakesRoomForTheNext() throws Exception {
        RawServer server = holdingServer();
        int port = listen(server);
        EndpointClient client = client(1);
        RecordedExchange cancelled = start(client, port, "/cancelled");
        RecordedExchange next = start(client, port, "/next");
        awaitUntil(() -> mHeld.containsKey("/cancelled"));
        cancel(cancelled);
        awaitUntil(() -> mHeld.containsKey("/next"));
        mHeld.get("/next").write(OK);
        assertThat(await(next.end()).isComplete()).isTrue();
        awaitUntil(() -> server.openConnections() == 1);
        assertThat(server.connections()).isEqualTo(2);
        assertThat(cancelled.names()).doesNotContain("Lost", "Ended");
    }

    @Test
    public void anUnusedConnectionIsClosedWhenItsTimeIsOver() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(4);
        exchange(client, port);
        mNowMilliseconds.addAndGet(KEEP_ALIVE_MILLISECONDS - 1);
        exchange(client, port);
        assertThat(server.connections()).as("used in its time").isEqualTo(1);
        mNowMilliseconds.addAndGet(KEEP_ALIVE_MILLISECONDS);
        exchange(client, port);
        assertThat(server.connections()).as("not used after its time").isEqualTo(2);
        mNowMilliseconds.addAndGet(KEEP_ALIVE_MILLISECONDS);
        awaitUntil(() -> server.openConnections() == 0);
    }

    @Test
    public void theTimeThatTheEndpointNamesGoesBeforeTheStandardTime() throws Exception {
        RawServer server =
                server(OK.replace("\r\n\r\n", "\r\nKeep-Alive: timeout=2, max=9\r\n\r\n"));
        int port = listen(server);
        EndpointClient client = client(4);
        exchange(client, port);
        mNowMilliseconds.addAndGet(1_999);
        exchange(client, port);
        assertThat(server.connections()).isEqualTo(1);
        mNowMilliseconds.addAndGet(2_000);
        exchange(client, port);
        assertThat(server.connections()).isEqualTo(2);
    }

    @Test
    public void aConnectionThatTheEndpointWillCloseIsNotUsedAgain() throws Exception {
        for (String header : List.of("Connection: close", "Keep-Alive: timeout=0")) {
            RawServer server = server(OK.replace("\r\n\r\n", "\r\n" + header + "\r\n\r\n"));
            int port = listen(server);
            EndpointClient client = client(4);
            exchange(client, port);
            assertThat(exchange(client, port).isComplete()).isTrue();
            assertThat(server.connections()).as(header).isEqualTo(2);
            awaitUntil(() -> server.openConnections() == 0);
        }
    }

    @Test
    public void aClientThatKeepsNoConnectionsSaysSo() throws Exception {
        RawServer server = server(OK);
        int port = listen(server);
        EndpointClient client = client(4, 10_000, 0);
        exchange(client, port);
        exchange(client, port);
        assertThat(server.connections()).isEqualTo(2);
        assertThat(server.requests())
                .allMatch(request -> request.head().toLowerCase().contains("connection: close"));
        awaitUntil(() -> server.openConnections() == 0);
    }

    /** Guards against exchanges on connections that may hang. */
    @Test
    public void retiredConnectionsServeNoFurtherExchange() throws Exception {
        RawServer server = holdingServer();
        int port = listen(server);
        EndpointClient client = client(4);
        RecordedExchange first = start(client, port, "/first");
        RecordedExchange second = start(client, port, "/second");
        awaitUntil(() -> mHeld.size() == 2);
        mHeld.get("/first").write(OK);
        await(first.end());
        onContext(
                () -> {
                    client.retireConnections(SocketAddress.inetSocketAddress(port, HOST));
                    return client;
                });
        mHeld.get("/second").write(OK);
        assertThat(await(second.end()).isComplete()).isTrue();
        awaitUntil(() -> server.openConnections() == 0);
        start(client, port, "/third");
        awaitUntil(() -> mHeld.containsKey("/third"));
        assertThat(server.connections()).isEqualTo(3);
    }
}
