package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what follows on a connection after a body that was refused. */
public class RefusedBodyTest extends GatewayFixture {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final String TOO_LARGE = "x".repeat(MAX_BODY_BYTES + 1);
    private static final String HEAD =
            "POST /x/y HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n";
    private static final String REFUSED =
            HEAD
                    + "Call-Id: refused\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(TOO_LARGE.length())
                    + "\r\n"
                    + TOO_LARGE
                    + "\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String NEXT = HEAD + "Call-Id: next\r\nContent-Length: 4\r\n\r\nbody";

    @Override
    protected CallerLimits callerLimits() {
        return new CallerLimits(16 * 1024, MAX_BODY_BYTES, 3_000, 15_000);
    }

    @DataProvider
    private Object[][] parts() {
        return new Object[][] {{REFUSED + END + NEXT, ""}, {REFUSED, END + NEXT}};
    }

    /** Guards against a call that is passed on from a connection that is about to be closed. */
    @Test(dataProvider = "parts")
    public void theRequestBehindARefusedBodyIsNotPassedOnAndItsConnectionCloses(
            String first, String second) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", request -> {});
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false), endpoint);
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        await(caller.send(first));
        awaitUntil(() -> caller.received().contains("\r\n\r\n"));
        await(caller.send(second));
        awaitUntil(caller::isClosed);
        assertThat(caller.received())
                .startsWith("HTTP/1.1 413 ")
                .containsIgnoringCase("connection: close");
        assertThat(endpoint.heads()).as("requests passed on").isEmpty();
        awaitUntil(() -> mMetrics.counter("gateway_held_bytes").getCount() == 0);
    }
}
