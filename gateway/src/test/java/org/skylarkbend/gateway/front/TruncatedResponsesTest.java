package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.ListedEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests endpoints that break off their response at any byte, by closing or by a reset. */
public class TruncatedResponsesTest extends GatewayFixture {
    private static final long TIMEOUT_MILLISECONDS = 1_500;

    /** Time in which the gateway reads the bytes before a reset, which might discard them. */
    private static final long READ_MILLISECONDS = 5;

    private static final long RETRY_MILLISECONDS = 20;
    private static final int FIRST_CALL = 1_000;
    private static final String EVENT = "id: 1\ndata: x\n\n";
    private static final String HEAD_END = "\r\n\r\n";
    private static final String ID = "Call-Id: %s\r\n";
    private static final String SEAL = "Seal: s1\r\n";

    /** How the body of a response is delimited. */
    private enum Framing {
        LENGTH("Content-Length: 15\r\n", EVENT),
        CHUNKS("Transfer-Encoding: chunked\r\n", "f\r\n" + EVENT + "\r\n0\r\nX-Check: 1\r\n\r\n"),
        NONE("Content-Type: text/plain\r\n", EVENT);

        private final String mHeader;
        private final String mBody;

        Framing(String header, String body) {
            mHeader = header;
            mBody = body;
        }
    }

    /** Order of the headers of a response. */
    private enum Order {
        ID_AND_SEAL_FIRST(framing -> ID + SEAL + framing),
        ID_AND_SEAL_LAST(framing -> framing + SEAL + ID),
        FRAMING_IN_THE_MIDDLE(framing -> SEAL + framing + ID + "Date: now\r\n");

        private final UnaryOperator<String> mHeaders;

        Order(UnaryOperator<String> headers) {
            mHeaders = headers;
        }
    }

    /** How a connection ends. */
    private enum End {
        CLOSE,
        RESET
    }

    @DataProvider
    private Object[][] responses() {
        List<Object[]> cases = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (Order order : Order.values()) {
                cases.add(new Object[] {CallKind.ONCE, framing, order, End.CLOSE});
            }
            cases.add(new Object[] {CallKind.ONCE, framing, Order.ID_AND_SEAL_FIRST, End.RESET});
            for (CallKind kind : List.of(CallKind.REPEATABLE, CallKind.STREAM)) {
                for (End end : End.values()) {
                    cases.add(new Object[] {kind, framing, Order.ID_AND_SEAL_FIRST, end});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a success made of the beginning of a response. */
    @Test(dataProvider = "responses")
    public void aResponseCutAtAnyByteIsNoSuccess(
            CallKind kind, Framing framing, Order order, End end) throws Exception {
        RawServer endpoint =
                new RawServer(
                        mVertx,
                        (request, socket) ->
                                send(
                                        response(framing, order, request)
                                                .substring(0, cutOf(request)),
                                        end,
                                        socket));
        publish(Routes.of(kind, 1, false, TIMEOUT_MILLISECONDS), listed("e0", endpoint));
        assertNoSuccess(cuts(framing, order, end), endpoint);
    }

    @DataProvider
    private Object[][] ends() {
        return new Object[][] {{End.CLOSE}, {End.RESET}};
    }

    /** Guards against a resumed stream that looks complete where its second half never began. */
    @Test(dataProvider = "ends")
    public void aStreamWhoseSecondEndpointCutsItsHeadIsNotComplete(End end) throws Exception {
        Framing framing = Framing.CHUNKS;
        RawServer.Script script =
                (request, socket) -> {
                    String whole = response(framing, Order.ID_AND_SEAL_FIRST, request);
                    boolean isResumed = !header(request, "Last-Event-Id").isEmpty();
                    String first = whole.substring(0, whole.indexOf(EVENT) + EVENT.length());
                    send(isResumed ? whole.substring(0, cutOf(request)) : first, end, socket);
                };
        RawServer one = new RawServer(mVertx, script);
        RawServer other = new RawServer(mVertx, script);
        publish(
                Routes.of(CallKind.STREAM, 2, true, TIMEOUT_MILLISECONDS),
                listed("e0", one),
                listed("e1", other));
        int headBytes =
                String.format(wholeOf(framing, Order.ID_AND_SEAL_FIRST), callId(0))
                        .indexOf(HEAD_END);
        assertNoSuccess(headBytes + HEAD_END.length(), one, other);
    }

    @DataProvider
    private Object[][] leftOvers() {
        return new Object[][] {
            {"HTTP/1.1 2"},
            {"HTTP/1.1 200 OK\r\n"},
            {"HTTP/1.1 200 OK\r\nCall-Id: c0\r\nX-"},
            {"HTTP/1.1 200 OK\r\nX-Note: a"},
            {"HTTP/1.1 200 OK\r\nSeal: s0\r\nContent-Length: 4\r\n"}
        };
    }

    /** Guards against a success made of the beginnings of two responses. */
    @Test(dataProvider = "leftOvers")
    public void aHeadCutBehindLeftOverBytesIsNoSuccess(String leftOver) throws Exception {
        Order order = Order.ID_AND_SEAL_FIRST;
        RawServer endpoint =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            String whole = response(Framing.LENGTH, order, request);
                            if (request.number() == 1) {
                                socket.write(whole);
                            } else {
                                String cut = whole.substring(0, cutOf(request));
                                send(leftOver + cut, End.CLOSE, socket);
                            }
                        });
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), listed("e0", endpoint));
        int bytes = String.format(wholeOf(Framing.LENGTH, order), callId(0)).length();
        List<String> wrong = new ArrayList<>();
        for (int cut = 0; cut < bytes; cut++) {
            assertThat(call(callId(cut)).body()).as("the response before").hasValue(EVENT);
            Response next = call(callId(cut));
            if (isSuccess(next)) {
                wrong.add(cut + " bytes: " + next);
            }
        }
        assertThat(wrong).isEmpty();
        assertThat(endpoint.requests()).hasSize(2 * bytes);
    }

    private void assertNoSuccess(int cuts, RawServer... endpoints) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int cut = 0; cut < cuts; cut++) {
            Response reply = call(callId(cut));
            while (!isReceived(callId(cut), endpoints)) {
                assertThat(isSuccess(reply)).isFalse();
                await(mVertx.timer(RETRY_MILLISECONDS, TimeUnit.MILLISECONDS));
                reply = call(callId(cut));
            }
            if (isSuccess(reply)) {
                wrong.add(cut + " bytes: " + reply);
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Returns whether the last endpoint that a call needs has got it. */
    private static boolean isReceived(String id, RawServer... endpoints) {
        int received = 0;
        for (RawServer endpoint : endpoints) {
            received +=
                    (int)
                            endpoint.requests().stream()
                                    .filter(request -> header(request, "Call-Id").equals(id))
                                    .count();
        }
        return received >= endpoints.length;
    }

    private static boolean isSuccess(Response response) {
        return response.status() < 500 && response.body().isPresent();
    }

    private static int cuts(Framing framing, Order order, End end) {
        String whole = String.format(wholeOf(framing, order), callId(0));
        boolean isAnyEndComplete = framing == Framing.NONE && end == End.CLOSE;
        return isAnyEndComplete ? whole.indexOf(HEAD_END) + HEAD_END.length() : whole.length();
    }

    private static String wholeOf(Framing framing, Order order) {
        return "HTTP/1.1 200 OK\r\n"
                + order.mHeaders.apply(framing.mHeader)
                + "\r\n"
                + framing.mBody;
    }

    private static String response(Framing framing, Order order, RawServer.Request request) {
        return String.format(wholeOf(framing, order), header(request, "Call-Id"));
    }

    private static String callId(int cutBytes) {
        return "c" + (FIRST_CALL + cutBytes);
    }

    private static int cutOf(RawServer.Request request) {
        return Integer.parseInt(header(request, "Call-Id").substring(1)) - FIRST_CALL;
    }

    private static String header(RawServer.Request request, String name) {
        return request.head()
                .lines()
                .filter(line -> line.regionMatches(true, 0, name + ": ", 0, name.length() + 2))
                .map(line -> line.substring(name.length() + 2))
                .findFirst()
                .orElse("");
    }

    private void send(String bytes, End end, NetSocket socket) {
        if (!bytes.isEmpty()) {
            socket.write(bytes);
        }
        if (end == End.CLOSE) {
            socket.end();
        } else {
            mVertx.setTimer(READ_MILLISECONDS, id -> RawServer.reset(socket));
        }
    }

    private Endpoint listed(String id, RawServer server) throws Exception {
        return ListedEndpoint.of(id, await(server.listen()));
    }
}
