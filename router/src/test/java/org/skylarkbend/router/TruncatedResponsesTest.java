package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.net.NetSocket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests endpoints that break off their response at any byte, by closing or by a reset. */
public class TruncatedResponsesTest {
    private static final String ATTEMPT = "entry-1-19a0b0c0d0e-1.1";
    private static final String ATTEMPT_HEADER = "X-Skylark-Attempt: %s\r\n";
    private static final String BODY = "done";

    /** Time in which the router reads the bytes before a reset, which might discard them. */
    private static final long READ_MILLISECONDS = 5;

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(2_000, 4_000);
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    /** How a connection ends. */
    private enum End {
        CLOSE,
        RESET
    }

    @DataProvider
    private Object[][] responses() {
        String length = "Content-Length: 4\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n";
        String chunks = "4\r\n" + BODY + "\r\n0\r\nX-Check: 1\r\n\r\n";
        List<Object[]> cases = new ArrayList<>();
        for (End end : End.values()) {
            cases.add(new Object[] {"length last", end, ATTEMPT_HEADER + length, BODY});
            cases.add(new Object[] {"length first", end, length + ATTEMPT_HEADER, BODY});
            cases.add(
                    new Object[] {
                        "length in the middle",
                        end,
                        "Date: now\r\n" + length + ATTEMPT_HEADER + "ETag: e\r\n",
                        BODY
                    });
            cases.add(new Object[] {"chunked last", end, ATTEMPT_HEADER + chunked, chunks});
            cases.add(new Object[] {"chunked first", end, chunked + ATTEMPT_HEADER, chunks});
            cases.add(new Object[] {"without framing", end, ATTEMPT_HEADER, BODY});
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a success made of the beginning of a response, for a call that runs once. */
    @Test(dataProvider = "responses")
    public void aBookingWhoseResponseIsCutAtAnyByteIsNoSuccess(
            String name, End end, String headers, String body) {
        assertNoSuccess(end, headers, body, () -> mFixture.booking(RouterFixture.KEY));
    }

    /** Guards against a success made of the beginning of a response, for a repeatable call. */
    @Test(dataProvider = "responses")
    public void aStockCallWhoseResponseIsCutAtAnyByteIsNoSuccess(
            String name, End end, String headers, String body) {
        assertNoSuccess(end, headers, body, () -> mFixture.stock(RouterFixture.KEY));
    }

    @DataProvider
    private Object[][] ends() {
        return new Object[][] {{End.CLOSE}, {End.RESET}};
    }

    /** Guards against a resumed stream that looks complete where its second half never began. */
    @Test(dataProvider = "ends")
    public void aStreamWhoseResumptionCutsItsHeadIsNotComplete(End end) {
        AtomicInteger cutBytes = new AtomicInteger();
        mFixture.endpoint(
                (request, socket) -> {
                    String head = FakeResponses.streamHead(request.attempt());
                    boolean isCall = request.method().equals("POST");
                    String bytes =
                            isCall
                                    ? head + FakeResponses.event(1, "the ")
                                    : head.substring(0, Math.min(cutBytes.get(), head.length()));
                    send(bytes, end, socket);
                });
        mFixture.publish();
        for (int bytes = 0; bytes <= FakeResponses.streamHead(ATTEMPT).length(); bytes++) {
            cutBytes.set(bytes);
            HttpResponse<String> reply = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
            assertThat(reply.body())
                    .as("resumption cut at %d bytes", bytes)
                    .doesNotContain("[DONE]")
                    .contains("\"error\"");
        }
    }

    /** Guards against a success made of the beginnings of two responses. */
    @Test
    public void aHeadCutBehindLeftOverBytesIsNoSuccess() {
        String whole = whole(ATTEMPT_HEADER + "Content-Length: 4\r\n", BODY);
        AtomicInteger cutBytes = new AtomicInteger(whole.length());
        AtomicInteger leftOverBytes = new AtomicInteger();
        UnaryOperator<String> response = attempt -> String.format(whole, attempt);
        FakeEndpoint endpoint =
                mFixture.endpoint(
                        (request, socket) -> {
                            String own = response.apply(request.attempt());
                            if (cutBytes.get() >= own.length()) {
                                socket.write(own);
                            } else {
                                String leftOver = own.substring(0, leftOverBytes.get());
                                send(
                                        leftOver + own.substring(0, cutBytes.get()),
                                        End.CLOSE,
                                        socket);
                            }
                        });
        mFixture.publish();
        Supplier<HttpRequest.Builder> stock = () -> mFixture.stock(RouterFixture.KEY);
        List<String> wrong = new ArrayList<>();
        for (int leftOver : new int[] {10, 15, 17, 30}) {
            leftOverBytes.set(leftOver);
            for (int cut = 0; cut < whole.length(); cut++) {
                cutBytes.set(Integer.MAX_VALUE);
                assertThat(sendUntilReceived(stock, endpoint).body()).isEqualTo(BODY);
                cutBytes.set(cut);
                HttpResponse<String> next = sendUntilReceived(stock, endpoint);
                if (next.statusCode() < 500) {
                    wrong.add(leftOver + " and " + cut + " bytes: " + next.statusCode());
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    private void assertNoSuccess(
            End end, String headers, String body, Supplier<HttpRequest.Builder> call) {
        AtomicInteger cutBytes = new AtomicInteger();
        FakeEndpoint endpoint =
                mFixture.endpoint(
                        (request, socket) -> {
                            String whole = String.format(whole(headers, body), request.attempt());
                            int bytes = Math.min(cutBytes.get(), whole.length() - 1);
                            send(whole.substring(0, bytes), end, socket);
                        });
        mFixture.publish();
        int wholeBytes = String.format(whole(headers, body), ATTEMPT).length();
        List<String> wrong = new ArrayList<>();
        for (int bytes = 0; bytes < wholeBytes; bytes++) {
            cutBytes.set(bytes);
            HttpResponse<String> reply = sendUntilReceived(call, endpoint);
            if (reply.statusCode() < 500) {
                wrong.add(bytes + " bytes: " + reply.statusCode() + " " + reply.body());
            }
        }
        assertThat(wrong).isEmpty();
    }

    /**
     * Sends a call until it has reached the endpoint: a router that was held up may refuse one
     * because its lease has ended. A call that is answered without the endpoint is returned at
     * once.
     */
    private HttpResponse<String> sendUntilReceived(
            Supplier<HttpRequest.Builder> call, FakeEndpoint endpoint) {
        int before = endpoint.requests().size();
        AtomicReference<HttpResponse<String>> reply = new AtomicReference<>();
        RouterFixture.awaitTrue(
                () -> {
                    reply.set(mFixture.send(call.get()));
                    return reply.get().statusCode() < 500 || endpoint.requests().size() > before;
                });
        return reply.get();
    }

    private static String whole(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
    }

    private void send(String bytes, End end, NetSocket socket) {
        if (!bytes.isEmpty()) {
            socket.write(bytes);
        }
        if (end == End.CLOSE) {
            socket.end();
        } else {
            mFixture.vertx().setTimer(READ_MILLISECONDS, id -> RawServer.reset(socket));
        }
    }
}
