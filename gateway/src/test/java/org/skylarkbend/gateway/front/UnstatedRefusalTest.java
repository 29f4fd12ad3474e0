package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.ScriptedEndpoint;
import org.skylarkbend.gateway.ScriptedEndpoint.Step;
import org.skylarkbend.gateway.ScriptedEndpoint.Then;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests statuses by which a caller concludes that its call has not run, from endpoints that did not
 * state it.
 */
public class UnstatedRefusalTest extends GatewayFixture {
    private static final long TIMEOUT_MILLISECONDS = 1_500;
    private static final List<Integer> STATUSES = List.of(408, 421, 429, 503);
    private static final String SEALED = "Call-Id: c1\r\nSeal: seal\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n";

    /** Heads and bodies behind the status line. */
    private static final List<String> SHAPES =
            List.of(
                    SEALED + "Content-Length: 6\r\n\r\nburned",
                    "Call-Id: c1\r\n" + EMPTY + "\r\n",
                    SEALED + "Retry-After: 1\r\n" + EMPTY + "\r\n",
                    SEALED + "Leaving: 1\r\n" + EMPTY + "\r\n",
                    SEALED + "Brittle: 3\r\n" + EMPTY + "\r\n",
                    SEALED + "Not-Run-Yet: 1\r\n" + EMPTY + "\r\n",
                    SEALED + "X-Not-Run: 1\r\n" + EMPTY + "\r\n",
                    SEALED + "Transfer-Encoding: chunked\r\n\r\n6\r\nburned\r\n0\r\n\r\n",
                    SEALED + "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\n\r\n",
                    SEALED + "\r\nburned");

    private static final List<Route> ONCE =
            List.of(route(CallKind.ONCE, false), route(CallKind.STREAM, false));
    private static final List<Route> AGAIN =
            List.of(route(CallKind.REPEATABLE, false), route(CallKind.STREAM, true));

    @DataProvider
    private static Object[][] once() {
        return rowsOf(ONCE);
    }

    @DataProvider
    private static Object[][] again() {
        return rowsOf(AGAIN);
    }

    private static Object[][] rowsOf(List<Route> routes) {
        List<Object[]> rows = new ArrayList<>();
        for (Route route : routes) {
            for (int status : STATUSES) {
                String start = "HTTP/1.1 " + status + " No\r\n";
                SHAPES.forEach(shape -> rows.add(new Object[] {route, status, start + shape}));
                String interim = "HTTP/1.1 102 Processing\r\nNot-Run: 1\r\n\r\n";
                rows.add(new Object[] {route, status, interim + start + SHAPES.get(0)});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against a booking that is made twice because its status promised "not run". */
    @Test(dataProvider = "once")
    public void aCallThatMayHaveRunOnceGetsAStatusThatPromisesNothing(
            Route route, int status, String bytes) throws Exception {
        Response reply = respond(route, bytes);
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.head()).doesNotContainKeys("seal", "retry-after", "leaving");
        assertThat(reply.body().orElse("")).contains("may_have_run").doesNotContain("burned");
        assertThat(mMetrics.counter("gateway_responses_withheld").getCount()).isEqualTo(1);
    }

    /** Guards against a changed response to calls that may run again. */
    @Test(dataProvider = "again")
    public void aCallThatMayRunAgainGetsTheResponseOfTheEndpoint(
            Route route, int status, String bytes) throws Exception {
        Response reply = respond(route, bytes);
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.head().containsKey("seal")).isEqualTo(bytes.contains("Seal"));
        assertThat(reply.body().orElse("").contains("burned")).isEqualTo(bytes.contains("burned"));
    }

    /** Guards against a promise that rests on the part of a response that arrived. */
    @Test
    public void aStatementOfAResponseThatWasCutIsNoPromise() throws Exception {
        for (int status : STATUSES) {
            String cut =
                    "HTTP/1.1 "
                            + status
                            + " No\r\nNot-Run: 1\r\n"
                            + SEALED
                            + "Content-Length: 9\r\n";
            for (String bytes : List.of(cut, cut + "\r\n", cut + "\r\nfail")) {
                Response reply = respond(ONCE.get(0), new Step(bytes, Then.RESET));
                assertThat(reply.status()).isIn(502, 504);
            }
        }
    }

    @Test
    public void aCallThatNoEndpointRanIsPromisedNotToHaveRun() throws Exception {
        String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + SEALED + EMPTY + "\r\n";
        Response reply = respond(ONCE.get(0), refusal);
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.body().orElse("")).contains("not_run");
        assertThat(reply.head()).containsKey("retry-after").doesNotContainKey("seal");
    }

    /** Guards against a promise by the last of several endpoints, of which the first may run it. */
    @Test
    public void theStatementOfOneEndpointIsNoPromiseForAnother() throws Exception {
        for (CallKind kind : List.of(CallKind.REPEATABLE, CallKind.STREAM)) {
            FakeEndpoint breaking = new FakeEndpoint("e0", FakeEndpoint.breaking());
            FakeEndpoint refusing = new FakeEndpoint("e1", FakeEndpoint.refusing());
            await(breaking.listen(mVertx));
            await(refusing.listen(mVertx));
            publish(Routes.of(kind, 2, true), breaking, refusing);
            for (int i = 0; breaking.heads().isEmpty() || refusing.heads().isEmpty(); i++) {
                boolean isFirstBroken = breaking.heads().isEmpty();
                Response reply = call("c" + i);
                if (isFirstBroken && !breaking.heads().isEmpty()) {
                    assertThat(reply.status()).as("%s", kind).isEqualTo(502);
                }
            }
        }
    }

    private static Route route(CallKind kind, boolean resumable) {
        return Routes.of(kind, 1, resumable, TIMEOUT_MILLISECONDS);
    }

    private Response respond(Route route, String bytes) throws Exception {
        boolean isEndedByConnection = !bytes.contains("Content-Length") && !bytes.contains("chunk");
        return respond(route, new Step(bytes, isEndedByConnection ? Then.CLOSE : Then.KEEP));
    }

    private Response respond(Route route, Step step) throws Exception {
        ScriptedEndpoint endpoint = new ScriptedEndpoint("e0", step);
        await(endpoint.listen(mVertx));
        publish(route, endpoint.listed());
        return call("c1");
    }
}
