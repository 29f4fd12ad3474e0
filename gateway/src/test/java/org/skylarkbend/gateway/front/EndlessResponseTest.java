package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.RawEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests endpoints that send bytes without end: the caller is answered in time, the connection is
 * closed, and the gateway keeps a bounded number of bytes.
 */
public class EndlessResponseTest extends GatewayFixture {
    private static final long TIMEOUT_MILLISECONDS = 4_000;

    /** More than a gateway keeps of a response, less than it may use of memory. */
    private static final int MAX_CALLS = 200;

    private static final long MAX_SENT_BYTES = 96L * 1024 * 1024;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: seal\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private static final String ONE_EVENT = CHUNKED + "f\r\nid: 1\ndata: 1\n\n\r\n";

    /** A response that never ends: what is sent first, and what is sent again and again. */
    private record Endless(String name, CallKind kind, String first, String repeated) {
        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    private Object[] endlessResponses() {
        String padding = "x".repeat(16 * 1024);
        String line = "X-More: " + "y".repeat(500) + "\r\n";
        String chunk = Integer.toHexString(padding.length()) + "\r\n" + padding + "\r\n";
        CallKind once = CallKind.ONCE;
        return new Object[] {
            new Endless("a header without end", once, HEAD + "X: ", padding),
            new Endless("header lines without end", once, HEAD, line),
            new Endless("a status line without end", once, "HTTP/1.1 200 ", padding),
            new Endless("a body without end", once, CHUNKED, chunk),
            new Endless("a body without length", once, HEAD + "\r\n", padding),
            new Endless("a chunk extension without end", once, CHUNKED + "5;e=", padding),
            new Endless("trailers without end", once, CHUNKED + "0\r\n", line),
            new Endless("an event without end", CallKind.STREAM, CHUNKED, chunk),
            new Endless("bytes that are no response", once, "", padding)
        };
    }

    @Test(dataProvider = "endlessResponses")
    public void anEndlessResponseEndsInAnErrorAndAClosedConnection(Endless endless)
            throws Exception {
        RawEndpoint endpoint = new RawEndpoint(endless.first(), endless.repeated(), 0);
        await(endpoint.listen(mVertx));
        publish(Routes.of(endless.kind(), 1, false, TIMEOUT_MILLISECONDS), endpoint.listed());
        assertThat(call().status()).isIn(502, 504);
        awaitUntil(endpoint::isClosed);
        assertThat(endpoint.sentBytes()).isLessThan(MAX_SENT_BYTES);
    }

    @Test
    public void interimResponsesWithoutEndStopAtTheTimeoutOfTheRoute() throws Exception {
        RawEndpoint endpoint = new RawEndpoint("", "HTTP/1.1 102 Processing\r\n\r\n", 0);
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 1_000), endpoint.listed());
        assertThat(call().status()).isIn(502, 504);
        awaitUntil(endpoint::isClosed);
    }

    @Test
    public void aSecondResponseOnAConnectionInUseNeverReachesTheNextCaller() throws Exception {
        String answer = HEAD + "Content-Length: 5\r\n\r\nfirst";
        RawEndpoint endpoint = new RawEndpoint(answer + answer, "", 0);
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 1_000), endpoint.listed());
        assertThat(call().body()).contains("first");
        Response next = call("c2");
        assertThat(next.status()).as("not the answer to another call").isNotEqualTo(200);
    }

    @Test
    public void aStreamThatDripsPartsOfAnEventIsContinuedElsewhere() throws Exception {
        RawEndpoint dripping = new RawEndpoint(CHUNKED + "5\r\nid: 1\r\n", "1\r\n \r\n", 100);
        FakeEndpoint sound = new FakeEndpoint("e1", FakeEndpoint.streaming(3, true));
        await(dripping.listen(mVertx));
        await(sound.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 2, true, 20_000), dripping.listed(), sound.listed());
        assertWholeStreamsUntilOneBeginsAt(dripping);
    }

    @DataProvider
    private Object[] bytesThatAreNoEvents() {
        return new Object[] {
            new Endless("comments", CallKind.STREAM, ONE_EVENT, "3\r\n:\n\n\r\n"),
            new Endless("blank lines", CallKind.STREAM, ONE_EVENT, "1\r\n\n\r\n")
        };
    }

    /** Guards against a stalled stream that never ends because something arrives. */
    @Test(dataProvider = "bytesThatAreNoEvents")
    public void aStreamThatDripsBytesThatAreNoEventsIsContinuedElsewhere(Endless endless)
            throws Exception {
        RawEndpoint dripping = new RawEndpoint(endless.first(), endless.repeated(), 100);
        FakeEndpoint sound = new FakeEndpoint("e1", FakeEndpoint.streaming(3, true));
        await(dripping.listen(mVertx));
        await(sound.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 2, true, 20_000), dripping.listed(), sound.listed());
        assertWholeStreamsUntilOneBeginsAt(dripping);
    }

    /** The gateway chooses among endpoints at random, so the number of calls differs. */
    private void assertWholeStreamsUntilOneBeginsAt(RawEndpoint dripping) throws Exception {
        for (int i = 0; i < MAX_CALLS && dripping.requests() == 0; i++) {
            assertThat(call().body())
                    .hasValueSatisfying(body -> assertThat(body).contains("id: 3"));
        }
        assertThat(dripping.requests()).isPositive();
    }
}
