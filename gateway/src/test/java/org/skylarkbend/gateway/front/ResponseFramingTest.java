package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.ScriptedEndpoint;
import org.skylarkbend.gateway.ScriptedEndpoint.Step;
import org.skylarkbend.gateway.ScriptedEndpoint.Then;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests responses whose bytes alone do not say to which call they belong, or whether they are
 * complete.
 */
public class ResponseFramingTest extends GatewayFixture {
    private static final long TIMEOUT_MILLISECONDS = 1_500;
    private static final String DONE =
            "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: seal\r\nContent-Length: 4\r\n\r\ndone";
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: seal\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: x\n\n";

    @DataProvider
    private Object[][] refusals() {
        String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n";
        return new Object[][] {
            {"of another call", refusal + "Call-Id: c1\r\n\r\n"},
            {"without ID", refusal + "\r\n"},
            {"of another status", refusal.replace("503", "421") + "\r\n"}
        };
    }

    /** Guards against a caller being told that its call did not run because another did not. */
    @Test(dataProvider = "refusals")
    public void anEarlierRefusalOnAKeptConnectionIsNoPromiseAboutThisCall(
            String name, String refusal) throws Exception {
        ScriptedEndpoint faulty =
                new ScriptedEndpoint("e0", new Step(DONE, Then.KEEP), new Step(refusal, Then.KEEP));
        await(faulty.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false, TIMEOUT_MILLISECONDS), faulty.listed());
        assertThat(call("c1").status()).isEqualTo(200);
        assertThat(call("c2").status()).as("it may be running").isIn(502, 504);
    }

    /** Guards against a second run of a call that an engine was running. */
    @Test(dataProvider = "refusals")
    public void anEarlierRefusalOnAKeptConnectionDoesNotSendThisCallElsewhere(
            String name, String refusal) throws Exception {
        ScriptedEndpoint faulty =
                new ScriptedEndpoint("e0", new Step(DONE, Then.KEEP), new Step(refusal, Then.KEEP));
        FakeEndpoint other = new FakeEndpoint("e1", FakeEndpoint.respondingWith(200, "again"));
        await(faulty.listen(mVertx));
        await(other.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false, TIMEOUT_MILLISECONDS), faulty.listed());
        assertThat(call("c1").status()).isEqualTo(200);
        publish(
                Routes.of(CallKind.ONCE, 2, false, TIMEOUT_MILLISECONDS),
                faulty.listed(),
                other.listed());
        String lastCall = "";
        for (int i = 2; faulty.requests() < 2; i++) {
            lastCall = "c" + i;
            call(lastCall);
        }
        assertThat(other.heads().stream().map(head -> head.get("call-id")))
                .as("calls at the other endpoint")
                .doesNotContain(lastCall);
    }

    @DataProvider
    private Object[][] earlierResponses() {
        String refusal =
                "HTTP/1.1 503 Busy\r\nCall-Id: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        String chunked =
                "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\ndone\r\n0\r\n\r\n";
        return new Object[][] {
            {"a response", DONE},
            {"a response in chunks", chunked},
            {"a refusal", refusal},
            {"several", DONE + refusal + chunked},
            {"interim responses and one", "HTTP/1.1 102 Processing\r\n\r\n" + DONE}
        };
    }

    /** Guards against a call that has run and whose response is thrown away for an earlier one. */
    @Test(dataProvider = "earlierResponses")
    public void aCallGetsItsOwnResponseAlthoughEarlierOnesArriveOnceMoreInFrontOfIt(
            String name, String earlier) throws Exception {
        String own = DONE.replace("c1", "c2").replace("done", "mine");
        ScriptedEndpoint endpoint =
                new ScriptedEndpoint(
                        "e0", new Step(DONE, Then.KEEP), new Step(earlier + own, Then.KEEP));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), endpoint.listed());
        assertThat(call("c1").body()).contains("done");
        Response reply = call("c2");
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).contains("mine");
        assertThat(reply.head()).containsEntry("call-id", "c2");
    }

    @Test
    public void aBodyWithoutLengthIsCompleteWhenItsConnectionIsClosed() throws Exception {
        Response reply = respond(CallKind.ONCE, new Step(UNFRAMED + "done", Then.CLOSE));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).contains("done");
    }

    @Test
    public void aBodyWithoutLengthIsIncompleteWhenItsConnectionIsReset() throws Exception {
        Response reply = respond(CallKind.ONCE, new Step(UNFRAMED + "do", Then.RESET));
        assertThat(reply.status()).isEqualTo(502);
    }

    @Test
    public void aStreamWithoutLengthIsCompleteWhenItsConnectionIsClosed() throws Exception {
        Response reply = respond(CallKind.STREAM, new Step(UNFRAMED + EVENT, Then.CLOSE));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).contains(EVENT);
    }

    /** Guards against a stream that looks complete although its engine broke it off. */
    @Test
    public void aStreamWithoutLengthThatEndsInsideAnEventIsNoCompleteResponse() throws Exception {
        Response reply =
                respond(CallKind.STREAM, new Step(UNFRAMED + EVENT + "id: 2\nda", Then.CLOSE));
        assertThat(reply.body())
                .as("the connection to the caller breaks")
                .isEqualTo(Optional.empty());
    }

    @Test
    public void aStreamWithoutLengthThatIsResetIsNoCompleteResponse() throws Exception {
        Response reply = respond(CallKind.STREAM, new Step(UNFRAMED + EVENT, Then.RESET));
        assertThat(reply.body())
                .as("the connection to the caller breaks")
                .isEqualTo(Optional.empty());
    }

    @Test
    public void aResumableStreamWithoutLengthThatEndsInsideAnEventGoesOnElsewhere()
            throws Exception {
        ScriptedEndpoint broken =
                new ScriptedEndpoint("e0", new Step(UNFRAMED + EVENT + "id: 2\nda", Then.CLOSE));
        FakeEndpoint sound = new FakeEndpoint("e1", FakeEndpoint.streaming(3, true));
        await(broken.listen(mVertx));
        await(sound.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 2, true), broken.listed(), sound.listed());
        for (int i = 0; broken.requests() == 0; i++) {
            assertThat(call().body())
                    .hasValueSatisfying(body -> assertThat(body).contains("id: 1", "id: 3"));
        }
    }

    private Response respond(CallKind kind, Step step) throws Exception {
        ScriptedEndpoint endpoint = new ScriptedEndpoint("e0", step);
        await(endpoint.listen(mVertx));
        publish(Routes.of(kind, 1, false, TIMEOUT_MILLISECONDS), endpoint.listed());
        return call("c1");
    }
}
