package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.ScriptedEndpoint;
import org.skylarkbend.gateway.ScriptedEndpoint.Step;
import org.skylarkbend.gateway.ScriptedEndpoint.Then;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests beginnings of a second response in front of status lines in unusual forms. */
public class OddStatusLinesTest extends GatewayFixture {
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: s1\r\nContent-Length: 4\r\n\r\ndone";

    @DataProvider
    private Object[][] versions() {
        return new Object[][] {
            {"HTTP/1.1  "}, {"HTTP/1.1\t"}, {"http/1.1 "}, {"HTTP/2 "}, {"HTTP/1.10 "}
        };
    }

    /** Guards against a success whose status is that of an earlier call (MIXED). */
    @Test(dataProvider = "versions")
    public void aFailureBehindTheBeginningOfASuccessIsNoSuccess(String version) throws Exception {
        assertThat(second("HTTP/1.1 200 O" + version + "500 Internal").status()).isNotEqualTo(200);
    }

    /** Guards against the statement that a call has not run, which is that of another (REFUSED). */
    @Test(dataProvider = "versions")
    public void aSuccessBehindTheBeginningOfARefusalIsNoRefusal(String version) throws Exception {
        Response response =
                second("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nDate: Sa" + version + "200 OK");
        assertThat(response.status()).isNotEqualTo(503);
    }

    private Response second(String firstLines) throws Exception {
        String rest = "\r\nCall-Id: c2\r\nSeal: s2\r\nContent-Length: 4\r\n\r\nfail";
        ScriptedEndpoint endpoint =
                new ScriptedEndpoint(
                        "e0", new Step(SUCCESS, Then.KEEP), new Step(firstLines + rest, Then.KEEP));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 600), endpoint.listed());
        assertThat(call("c1").body()).hasValue("done");
        return call("c2");
    }
}
