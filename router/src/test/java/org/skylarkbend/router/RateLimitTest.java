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
                                socket.write(FakeAnswers.stream(request.attempt(), 0, "fits")));
        mFixture.publish();
        mFixture.control().limit("desk", TOKENS_PER_SECOND, BURST_TOKENS);
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    private HttpResponse<String> ask(long maxTokens) {
        String field = ",\"max_tokens\":" + maxTokens;
        return mFixture.send(mFixture.chat(RouterFixture.KEY, true, field));
    }

    @Test
    public void aCallBeyondTheRateIsRefusedAndDoesNotRunWhileASmallOneRuns() {
        HttpResponse<String> large = ask(20_000);
        while (large.statusCode() == 200) {
            large = ask(20_000);
        }
        int ranBefore = mEngine.requests().size();
        assertThat(large.statusCode()).isEqualTo(429);
        assertThat(large.body()).contains("rate_exceeded", "not_run");
        assertThat(large.headers().firstValue("Retry-After")).isPresent();
        assertThat(mEngine.requests()).hasSize(ranBefore);
        assertThat(ask(50).statusCode()).isEqualTo(200);
        assertThat(mEngine.requests()).hasSize(ranBefore + 1);
    }

    @Test
    public void aCallThatNoRouterMayHoldTokensForIsRefusedForGood() {
        HttpResponse<String> answer = ask(BURST_TOKENS);
        while (answer.statusCode() == 200) {
            answer = ask(BURST_TOKENS);
        }
        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.body()).contains("25000 tokens at most", "not_run");
    }

    @Test
    public void aRouterThatNoOwnerHasSpokenToIsUnreadyAndRunsNoCallOfACustomer() {
        try (RouterFixture fixture = new RouterFixture(200, 2_000, false)) {
            FakeEndpoint engine =
                    fixture.endpoint(
                            (request, socket) ->
                                    socket.write(FakeAnswers.stream(request.attempt(), 0, "x")));
            fixture.publish();
            HttpResponse<String> answer = fixture.send(fixture.chat(RouterFixture.KEY, true));
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.body()).contains("router_stale", "not_run");
            assertThat(engine.requests()).isEmpty();
            assertThat(fixture.send(fixture.to("/readyz")).statusCode()).isEqualTo(503);
        }
    }
}
