package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.ScriptedEndpoint;
import org.skylarkbend.gateway.ScriptedEndpoint.Step;
import org.skylarkbend.gateway.ScriptedEndpoint.Then;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests endpoints that send the beginning of a second response, cut at any byte, on a connection
 * that is kept for the next call.
 */
public class JoinedResponsesTest extends GatewayFixture {
    private static final long TIMEOUT_MILLISECONDS = 600;

    /** Time in which the gateway reads bytes that arrive between two calls. */
    private static final long READ_MILLISECONDS = 5;

    private static final String BODY = "done";
    private static final String FAILURE =
            "HTTP/1.1 500 Internal\r\nCall-Id: c2\r\nSeal: s2\r\nContent-Length: 4\r\n\r\nfail";

    @DataProvider
    private Object[][] responses() {
        return new Object[][] {
            {
                "with the ID first",
                "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: s1\r\nContent-Length: 4\r\n\r\n" + BODY
            },
            {
                "with the ID last",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\nSeal: s1\r\n"
                        + "Call-Id: c1\r\n\r\n"
                        + BODY
            },
            {
                "in chunks",
                "HTTP/1.1 201 Created\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\nCall-Id: c1\r\n"
                        + "\r\n4\r\n"
                        + BODY
                        + "\r\n0\r\n\r\n"
            }
        };
    }

    /** Guards against a success whose status is that of an earlier call and whose body is not. */
    @Test(dataProvider = "responses")
    public void theBeginningOfASecondResponseInFrontOfTheNextIsNeverPartOfIt(
            String name, String response) throws Exception {
        assertNoneIsJoined(
                response,
                copy -> List.of(new Step(response, Then.KEEP), new Step(copy + FAILURE, Then.KEEP)),
                0);
    }

    /** Guards against a success whose status is that of an earlier call and whose body is not. */
    @Test(dataProvider = "responses")
    public void theBeginningOfASecondResponseRightAfterTheFirstIsNeverPartOfTheNext(
            String name, String response) throws Exception {
        assertNoneIsJoined(
                response,
                copy -> List.of(new Step(response + copy, Then.KEEP), new Step(FAILURE, Then.KEEP)),
                READ_MILLISECONDS);
    }

    /** Makes the steps of an endpoint from the bytes of a second response. */
    private interface Script {
        List<Step> of(String copy);
    }

    private void assertNoneIsJoined(String response, Script script, long pauseMilliseconds)
            throws Exception {
        List<Step> steps = new ArrayList<>();
        for (int length = 1; length < response.length(); length++) {
            steps.addAll(script.of(response.substring(0, length)));
        }
        ScriptedEndpoint endpoint = new ScriptedEndpoint("e0", steps.toArray(Step[]::new));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), endpoint.listed());
        List<String> wrong = new ArrayList<>();
        for (int length = 1; length < response.length(); length++) {
            assertThat(call("c1").body()).as("response before %d bytes", length).hasValue(BODY);
            if (pauseMilliseconds > 0) {
                await(mVertx.timer(pauseMilliseconds, TimeUnit.MILLISECONDS));
            }
            Response next = call("c2");
            if (!isTrue(next)) {
                wrong.add(length + " bytes: " + next);
            }
        }
        assertThat(wrong).isEmpty();
    }

    /**
     * Returns whether a response is the endpoint's failure as it is, or an error of the gateway.
     */
    private static boolean isTrue(Response response) {
        if (response.status() == 500) {
            return response.body().filter("fail"::equals).isPresent()
                    && "s2".equals(response.head().get("seal"))
                    && !response.head().containsKey("content-type");
        }
        return response.status() == 502 || response.status() == 504;
    }
}
