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
                        socket.write(FakeResponses.stream(request.attempt(), 0, "fits")));
        mFixture.publish();
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    @Test
    public void theTokensOfEachResponseAreCountedOnceAlthoughAcknowledgementsAreLost() {
        for (int i = 0; i < 7; i++) {
            mFixture.send(mFixture.chat(RouterFixture.KEY, i % 2 == 0));
        }
        RouterFixture.await(mFixture.router().drain());
        UsageTokens expected = new UsageTokens(7 * 8, 0, 7 * 3);
        RouterFixture.pollUntilTrue(
                () -> mFixture.control().countedTokens("desk").equals(expected));
        assertThat(mFixture.control().countedTokens("desk")).isEqualTo(expected);
        assertThat(mFixture.control().countedTokens("other")).isEqualTo(UsageTokens.NONE);
    }

    @Test
    public void aCustomerWhoseGrantIsUsedUpIsRefusedAndNothingRuns() {
        mFixture.control().exhaustGrants("desk");
        HttpResponse<String> response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        while (response.statusCode() == 200) {
            response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        }
        assertThat(response.statusCode()).isEqualTo(402);
        assertThat(response.body()).contains("grant_exceeded", "not_run");
        mFixture.control().exhaustGrants();
        while (response.statusCode() != 200) {
            response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
            assertThat(response.statusCode()).isIn(200, 402);
        }
    }

    /** Guards against callers without a key who are refused for a customer's used-up grant. */
    @Test
    public void aCallWithoutAKeyIsServedWhateverTheNameOfACustomerWhoseGrantIsUsedUp() {
        mFixture.publish(mFixture.setWithCustomerNamedOpen());
        mFixture.control().exhaustGrants("open");
        RouterFixture.pollUntilTrue(
                () ->
                        mFixture.send(mFixture.chat(RouterFixture.OTHER_KEY, true)).statusCode()
                                == 402);
        assertThat(mFixture.send(mFixture.chatWithoutKey()).statusCode()).isEqualTo(200);
    }
}
