package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.skylarkbend.usage.UsageTokens;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests usage reports to control and the refusal of customers with an exhausted grant. */
public class UsageReportTest {
    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture();
        mFixture.endpoint(
                (request, socket) ->
                        socket.write(FakeAnswers.stream(request.attempt(), 0, "fits")));
        mFixture.publish();
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    @Test
    public void theTokensOfEachAnswerAreCountedOnceAlthoughAcknowledgementsAreLost() {
        for (int i = 0; i < 7; i++) {
            mFixture.send(mFixture.chat(RouterFixture.KEY, i % 2 == 0));
        }
        RouterFixture.await(mFixture.router().drain());
        UsageTokens whole = new UsageTokens(7 * 8, 0, 7 * 3);
        RouterFixture.becomesTrue(() -> mFixture.control().countedTokens("desk").equals(whole));
        assertThat(mFixture.control().countedTokens("desk")).isEqualTo(whole);
        assertThat(mFixture.control().countedTokens("other")).isEqualTo(UsageTokens.NONE);
    }

    @Test
    public void aCustomerWhoseGrantIsUsedUpIsRefusedAndNothingRuns() {
        mFixture.control().useUpGrants("desk");
        HttpResponse<String> answer = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        while (answer.statusCode() == 200) {
            answer = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        }
        assertThat(answer.statusCode()).isEqualTo(402);
        assertThat(answer.body()).contains("grant_exceeded", "not_run");
        mFixture.control().useUpGrants();
        while (answer.statusCode() != 200) {
            answer = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
            assertThat(answer.statusCode()).isIn(200, 402);
        }
    }
}
