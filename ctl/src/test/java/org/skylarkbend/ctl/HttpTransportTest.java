package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests responses of control VMs that are sent twice or cut. */
public class HttpTransportTest {
    private static final String ACCEPTED =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n"
                    + "{\"revision\":8}";
    private static final String CONFLICT = "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nlost";

    /** Time in which the client reads the bytes before a reset, which might discard them. */
    private static final long READ_MILLISECONDS = 5;

    private Vertx mVertx;

    @BeforeMethod
    public void createVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    @DataProvider
    private Object[][] arrivals() {
        return new Object[][] {{"right behind the first", true}, {"in front of the next", false}};
    }

    /** Guards against a change that counts as accepted because an earlier one was. */
    @Test(dataProvider = "arrivals")
    public void aResponseIsNeverMadeOfAnEarlierOne(String name, boolean isBehind) throws Exception {
        AtomicInteger copyBytes = new AtomicInteger();
        AtomicBoolean first = new AtomicBoolean();
        RawServer control =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            boolean isFirst = first.get();
                            boolean isKept = request.number() > 1;
                            String copy = ACCEPTED.substring(0, copyBytes.get());
                            String own = isFirst ? ACCEPTED : CONFLICT;
                            if (isFirst && isBehind) {
                                socket.write(own + copy);
                            } else if (!isFirst && !isBehind && isKept) {
                                socket.write(copy + own);
                            } else {
                                socket.write(own);
                            }
                        });
        List<String> wrong = new ArrayList<>();
        try (HttpTransport transport = transport(await(control.listen()))) {
            for (int bytes = 1; bytes <= ACCEPTED.length(); bytes++) {
                copyBytes.set(bytes);
                first.set(true);
                assertThat(statusOf(transport.send(ControlRequest.get("/x")))).isEqualTo(200);
                first.set(false);
                int next = statusOf(transport.send(ControlRequest.get("/x")));
                if (next == 200) {
                    wrong.add(bytes + " bytes");
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** How a connection ends. */
    private enum End {
        CLOSE,
        RESET
    }

    @DataProvider
    private Object[][] responses() {
        String body = "{\"revision\":8}";
        String chunks = "e\r\n" + body + "\r\n0\r\nX-Check: 1\r\n\r\n";
        String start = "HTTP/1.1 200 OK\r\n";
        String type = "Content-Type: application/json\r\n";
        List<Object[]> cases = new ArrayList<>();
        for (End end : End.values()) {
            String length = "Content-Length: 14\r\n";
            cases.add(new Object[] {end, start + length + type + "\r\n" + body});
            cases.add(new Object[] {end, start + type + length + "\r\n" + body});
            cases.add(new Object[] {end, start + "Transfer-Encoding: chunked\r\n\r\n" + chunks});
        }
        cases.add(new Object[] {End.CLOSE, start + type + "\r\n"});
        cases.add(new Object[] {End.RESET, start + type + "\r\n" + body + " "});
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a success made of the beginning of a response. */
    @Test(dataProvider = "responses")
    public void aResponseCutAtAnyByteIsNoSuccess(End end, String response) throws Exception {
        AtomicInteger cutBytes = new AtomicInteger();
        RawServer control =
                new RawServer(
                        mVertx,
                        (request, socket) ->
                                send(response.substring(0, cutBytes.get()), end, socket));
        List<String> wrong = new ArrayList<>();
        try (HttpTransport transport = transport(await(control.listen()))) {
            for (int bytes = 0; bytes < response.length(); bytes++) {
                cutBytes.set(bytes);
                int status = statusOf(transport.send(ControlRequest.get("/x")));
                if (status != 0) {
                    wrong.add(bytes + " bytes: " + status);
                }
            }
        }
        assertThat(wrong).isEmpty();
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

    private static HttpTransport transport(int port) {
        return new HttpTransport(new OperatorSettings(List.of("127.0.0.1:" + port), "sk"));
    }

    /** Returns the status, or 0 if there was no response. */
    private static int statusOf(Result<ControlResponse> result) {
        return result.fold(ControlResponse::httpStatus, error -> 0);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
