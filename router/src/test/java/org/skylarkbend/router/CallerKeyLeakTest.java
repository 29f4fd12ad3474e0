package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.skylarkbend.base.StructuredLog;
import org.testng.annotations.Test;

/** Searches for the caller's key in everything that leaves the router. */
public class CallerKeyLeakTest {
    private static final StructuredLog LOG = StructuredLog.of(CallerKeyLeakTest.class);

    @Test
    public void theKeyOccursInNothingThatEndpointsLogsSpansOrMetricsReceive() {
        RouterFixture.awaitTrue(CallerKeyLeakTest::runsWithCompleteLog);
    }

    /**
     * Searches what leaves the router in one run. Returns false if the log is not complete, because
     * its rate limit, which all tests of the process share, has left out lines.
     */
    private static boolean runsWithCompleteLog() {
        PrintStream before = System.err;
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        System.setErr(new PrintStream(logged, true, StandardCharsets.UTF_8));
        String captured;
        try (RouterFixture fixture = new RouterFixture()) {
            captured = runCallsWithKeysEverywhere(fixture);
            RouterFixture.awaitTrue(() -> isLogWritten(logged));
        } finally {
            System.setErr(before);
        }
        String log = logged.toString(StandardCharsets.UTF_8);
        assertThat(log).doesNotContain(RouterFixture.KEY);
        assertThat(captured).contains(RouterFixture.CREDENTIAL, "/bookings/slot?day=2");
        assertThat(captured).doesNotContain(RouterFixture.KEY);
        if (log.contains("event=log.dropped")) {
            return false;
        }
        assertThat(log).contains("name=attempt", "name=admission", "name=call");
        return true;
    }

    /** Returns whether a line behind those of the run was written, and any report of a gap. */
    private static boolean isLogWritten(ByteArrayOutputStream logged) {
        LOG.info("calls.ended");
        return logged.toString(StandardCharsets.UTF_8).contains("event=calls.ended");
    }

    private static String runCallsWithKeysEverywhere(RouterFixture fixture) {
        FakeEndpoint endpoint =
                fixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.full(request.attempt(), 200, "{}")));
        fixture.publish();
        String key = RouterFixture.KEY;
        assertThat(status(fixture, fixture.booking(key))).isEqualTo(200);
        assertThat(
                        status(
                                fixture,
                                fixture.to("/bookings/slot?api_key=" + key + "&day=2&KEY=" + key)
                                        .header("Authorization", "Bearer " + key)
                                        .header("X-Api-Key", key)
                                        .header("Cookie", "key=" + key)
                                        .header("X-Custom", key)))
                .isEqualTo(200);
        assertThat(status(fixture, fixture.to("/bookings/slot").header("x-api-key", key)))
                .isEqualTo(200);
        assertThat(
                        status(
                                fixture,
                                fixture.booking(key)
                                        .POST(HttpRequest.BodyPublishers.ofString("k=" + key))))
                .isEqualTo(400);
        assertThat(status(fixture, fixture.booking(key).header("Idempotency-Key", key)))
                .isEqualTo(400);
        assertThat(
                        status(
                                fixture,
                                fixture.to("/bookings/" + key)
                                        .header("Authorization", "Bearer " + key)))
                .isEqualTo(400);
        assertThat(status(fixture, fixture.to("/nowhere/" + key))).isEqualTo(401);
        String metrics = fixture.send(fixture.to("/metrics").GET()).body();
        assertThat(metrics).contains("skylarkbend_forward_attempts").doesNotContain(key);
        return endpoint.captured();
    }

    private static int status(RouterFixture fixture, HttpRequest.Builder request) {
        HttpResponse<String> response = fixture.send(request);
        assertThat(response.body()).doesNotContain(RouterFixture.KEY);
        return response.statusCode();
    }
}
