package org.skylarkbend.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicReference;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests bodies that contain the bytes of a response, which arrive by themselves. */
public class FilledBodyTest extends ExchangeFixture {
    private static final int BODY_BYTES = 100;
    private static final String BEGINNING = "0123456789";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: s1\r\nContent-Length: 100\r\n\r\n";

    private final AtomicReference<NetSocket> mSocket = new AtomicReference<>();

    @DataProvider
    private Object[][] quotes() {
        return new Object[][] {
            {"its head", HEAD + ".".repeat(BODY_BYTES - BEGINNING.length() - HEAD.length())},
            {
                "the beginning of its head",
                ".".repeat(BODY_BYTES - BEGINNING.length() - 30) + HEAD.substring(0, 30)
            }
        };
    }

    /** Guards against a check of bodies that gives up sound ones. */
    @Test(dataProvider = "quotes")
    public void aBodyThatQuotesItsOwnResponseIsDelivered(String name, String quote)
            throws Exception {
        RawServer server = serverOf(HEAD + BEGINNING);
        EndpointClient client = client(1);
        int port = listen(server);
        RecordedExchange exchange = exchangeInTwoParts(client, port, quote);
        assertThat(exchange.isComplete()).isTrue();
        assertThat(exchange.body()).isEqualTo(BEGINNING + quote);
        assertThat(exchange(client, port).body()).isEqualTo("done");
        assertThat(server.connections()).isEqualTo(1);
        assertThat(mStrayReceptions.getCount()).isZero();
    }

    /** Guards against a second exchange that is harmed by an endpoint that cut a body short. */
    @Test
    public void aCopyThatFillsUpABodyIsCountedAndTheNextExchangeHasANewConnection()
            throws Exception {
        RawServer server = serverOf(HEAD + BEGINNING);
        EndpointClient client = client(1);
        int port = listen(server);
        exchangeInTwoParts(client, port, HEAD + BEGINNING.repeat(BODY_BYTES / 10));
        awaitUntil(() -> mStrayReceptions.getCount() > 0);
        assertThat(exchange(client, port).body()).isEqualTo("done");
        assertThat(server.connections()).isEqualTo(2);
    }

    /** Returns a server that cuts its first response short, without closing. */
    private RawServer serverOf(String cut) {
        return new RawServer(
                mVertx,
                (request, socket) -> {
                    if (request.head().startsWith("GET /cut ")) {
                        mSocket.set(socket);
                        socket.write(cut);
                    } else {
                        socket.write(OK);
                    }
                });
    }

    /** Makes an exchange whose server sends the rest when its first part was received. */
    private RecordedExchange exchangeInTwoParts(EndpointClient client, int port, String rest)
            throws Exception {
        AtomicReference<String> unsent = new AtomicReference<>(rest);
        RecordedExchange exchange =
                start(
                        client,
                        request(port, HttpMethod.GET, "/cut", Buffer.buffer()),
                        event -> {
                            if (event instanceof ExchangeEvent.ChunkReceived
                                    && unsent.get() != null) {
                                mSocket.get().write(unsent.getAndSet(null));
                            }
                        });
        return await(exchange.end());
    }
}
