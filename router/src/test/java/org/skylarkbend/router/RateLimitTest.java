package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests token rate limits with a limit owner at the fake control VM. */
public class RateLimitTest {
    private static final long TOKENS_PER_SECOND = 1_000;
    private static final long BURST_TOKENS = 100_000;

    private RouterFixture mFixture;
    private FakeEndpoint mEngine;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture();
        mEngine =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.stream(request.attempt(), 0, "fits")));
        mFixture.publish();
        mFixture.control().setLimit("desk", TOKENS_PER_SECOND, BURST_TOKENS);
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    private HttpResponse<String> sendChat(long maxTokens) {
        String field = ",\"max_tokens\":" + maxTokens;
        return mFixture.send(mFixture.chat(RouterFixture.KEY, true, field));
    }

    @Test
    public void aCallBeyondTheRateIsRefusedAndDoesNotRunWhileASmallOneRuns() {
        HttpResponse<String> large = sendChat(20_000);
        while (large.statusCode() == 200) {
            large = sendChat(20_000);
        }
        int ranBefore = mEngine.requests().size();
        assertThat(large.statusCode()).isEqualTo(429);
        assertThat(large.body()).contains("rate_exceeded", "not_run");
        assertThat(large.headers().firstValue("Retry-After")).isPresent();
        assertThat(mEngine.requests()).hasSize(ranBefore);
        assertThat(sendChat(50).statusCode()).isEqualTo(200);
        assertThat(mEngine.requests()).hasSize(ranBefore + 1);
    }

    @Test
    public void aCallThatNeedsMoreTokensThanARouterMayHoldIsRefusedPermanently() {
        HttpResponse<String> response = sendChat(BURST_TOKENS);
        while (response.statusCode() == 200) {
            response = sendChat(BURST_TOKENS);
        }
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).contains("25000 tokens at most", "not_run");
    }

    @Test
    public void aRouterWithoutALimitOwnerIsUnreadyAndRunsNoCallOfACustomer() {
        try (RouterFixture fixture = new RouterFixture(200, 2_000, false)) {
            FakeEndpoint engine =
                    fixture.endpoint(
                            (request, socket) ->
                                    socket.write(FakeResponses.stream(request.attempt(), 0, "x")));
            fixture.publish();
            HttpResponse<String> response = fixture.send(fixture.chat(RouterFixture.KEY, true));
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.body()).contains("router_stale", "not_run");
            assertThat(engine.requests()).isEmpty();
            assertThat(fixture.send(fixture.to("/readyz")).statusCode()).isEqualTo(503);
        }
    }
}
