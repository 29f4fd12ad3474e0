package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
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
