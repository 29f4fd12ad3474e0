package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.CapturingEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests a gateway whose event loop was held up, so that it reads requests late. */
public class HeldUpGatewayTest extends GatewayFixture {
    private static final long HELD_UP_MILLISECONDS = 1_000;
    private static final String REQUEST =
            "POST /x/y HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n"
                    + "Call-Id: gone\r\nContent-Length: 4\r\n\r\nbody";

    /** Guards against work for callers who left before their requests were read. */
    @Test
    public void aRequestWhoseCallerLeftBeforeItWasReadReachesNoEndpoint() throws Exception {
        CapturingEndpoint endpoint = new CapturingEndpoint();
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.REPEATABLE, 1, false, 10_000), endpoint.listed());
        assertThat(call("first").status()).isEqualTo(200);
        holdUp(HELD_UP_MILLISECONDS);
        CountDownLatch released = holdUp();
        try (Socket gone = new Socket(InetAddress.getLoopbackAddress(), mPort)) {
            gone.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
        }
        released.countDown();
        assertThat(call("other").status()).isEqualTo(200);
        assertThat(endpoint.requests()).noneMatch(request -> request.contains("gone"));
    }

    /** Blocks the event loop of the gateway for a time. */
    private void holdUp(long milliseconds) throws Exception {
        CountDownLatch released = holdUp();
        await(mVertx.timer(milliseconds, TimeUnit.MILLISECONDS));
        released.countDown();
        assertThat(call("between").status()).isEqualTo(200);
    }

    private CountDownLatch holdUp() {
        CountDownLatch released = new CountDownLatch(1);
        runOnGateway(
                () -> {
                    try {
                        released.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        return released;
    }
}
