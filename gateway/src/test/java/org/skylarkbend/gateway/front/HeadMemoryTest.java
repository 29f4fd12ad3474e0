package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.Test;

/** Tests the memory that the heads of requests may take over all callers of a gateway. */
public class HeadMemoryTest extends GatewayFixture {
    /** Room for two heads of short lines, which no endpoint gets. */
    private static final long MEMORY_BYTES = 3_000_000;

    private static final long STALLED_MILLISECONDS = 1_000;
    private static final String HEAD =
            "POST /x/y HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n"
                    + "Call-Id: c1\r\n"
                    + "te:\r\n".repeat(2_990)
                    + "Content-Length: 4\r\n\r\n";

    @Override
    protected long headMemoryBytes() {
        return MEMORY_BYTES;
    }

    /** Guards against stalled requests that keep out a legal one, or are all ended for it. */
    @Test
    public void aHeadOfManyLinesIsServedAndOnlyAsManyStalledRequestsAsNeededAreGivenUp()
            throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "done"));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 60_000), endpoint);
        RawClient first = await(RawClient.connect(mVertx, mPort));
        await(first.send(HEAD + "bod"));
        awaitUntil(() -> headBytes() > MEMORY_BYTES / 3);
        RawClient second = await(RawClient.connect(mVertx, mPort));
        await(second.send(HEAD + "bod"));
        awaitUntil(() -> headBytes() > 2 * MEMORY_BYTES / 3);
        await(mVertx.timer(STALLED_MILLISECONDS, TimeUnit.MILLISECONDS));
        RawClient legal = await(RawClient.connect(mVertx, mPort));
        await(legal.send(HEAD + "body"));
        awaitUntil(() -> legal.isClosed() || legal.received().contains("done"));
        assertThat(legal.received()).startsWith("HTTP/1.1 200 ");
        awaitUntil(first::isClosed);
        assertThat(second.isClosed()).as("a request that need not be given up").isFalse();
        assertThat(call("other").status()).isEqualTo(200);
    }

    private long headBytes() {
        return mMetrics.counter("gateway_heads_bytes").getCount();
    }
}
