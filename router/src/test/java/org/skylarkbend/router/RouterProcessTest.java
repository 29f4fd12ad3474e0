package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.CacheScope;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the path of a call from the caller to the endpoint, and the refusals on it. */
public class RouterProcessTest {
    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(10_000, 10_000);
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    @Test
    public void anEnginesResponseIsStreamedToTheCustomerOfTheKey() {
        FakeEndpoint engine =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.stream(request.attempt(), 0, "a", "b")));
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.chat(RouterFixture.KEY, true));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
        assertThat(response.body())
                .contains("id: 1\n", "\"content\":\"a\"", "id: 2\n", "\"content\":\"b\"", "id: 3\n")
                .endsWith("data: [DONE]\n\n");
        assertThat(engine.requests()).hasSize(1);
        assertThat(engine.requests().get(0).header("X-Skylark-Cache-Scope"))
                .isEqualTo(CacheScope.of(ObjectName.of("desk"), "w1", "").text());
    }

    /** Guards against cached parts of a customer that calls without a key find. */
    @Test
    public void aCallWithoutAKeySharesNoCacheScopeWithACustomerOfAnyName() {
        FakeEndpoint engine =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.stream(request.attempt(), 0, "a")));
        mFixture.publish(mFixture.setWithCustomerNamedOpen());
        assertThat(mFixture.send(mFixture.chatWithoutKey()).statusCode()).isEqualTo(200);
        for (String key : List.of(RouterFixture.KEY, RouterFixture.OTHER_KEY)) {
            assertThat(mFixture.send(mFixture.chat(key, false)).statusCode()).isEqualTo(200);
        }
        assertThat(engine.requests())
                .extracting(request -> request.header("X-Skylark-Cache-Scope"))
                .hasSize(3)
                .doesNotHaveDuplicates();
    }

    @Test
    public void aCallerWithoutStreamingGetsASingleResponse() {
        mFixture.endpoint(
                (request, socket) ->
                        socket.write(FakeResponses.stream(request.attempt(), 0, "12 ", "cores")));
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.chat(RouterFixture.KEY, false));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .contains("\"content\":\"12 cores\"", "\"prompt_tokens\":8", "chat.completion");
    }

    @Test
    public void aPlainServiceIsReachedUnderItsPath() {
        FakeEndpoint service =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(
                                        FakeResponses.full(request.attempt(), 201, "{\"ok\":1}")));
        mFixture.publish();
        HttpResponse<String> response = mFixture.send(mFixture.booking(RouterFixture.KEY));
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("{\"ok\":1}");
        assertThat(service.requests().get(0).uri()).isEqualTo("/bookings/slot-7");
        assertThat(service.requests().get(0).body()).isEqualTo("{\"cores\":12}");
    }

    @Test
    public void unknownKeysForeignRoutesAndUnknownRoutesAreRefusedBeforeAnythingRuns() {
        FakeEndpoint endpoint = mFixture.endpoint((request, socket) -> socket.close());
        mFixture.publish();
        assertRefused(mFixture.chat("sk-unknown-0123456789", true), 401, "key_refused");
        assertRefused(mFixture.chat(RouterFixture.OTHER_KEY, true), 403, "route_forbidden");
        HttpRequest.Builder elsewhere =
                mFixture.to("/nowhere").header("Authorization", "Bearer " + RouterFixture.KEY);
        assertRefused(elsewhere, 404, "route_unknown");
        assertThat(endpoint.requests()).isEmpty();
    }

    @Test
    public void aRouterWithoutALeaseIsUnreadyAndRefusesKeyedCalls() {
        HttpResponse<String> ready = mFixture.send(mFixture.to("/readyz").GET());
        assertThat(ready.statusCode()).isEqualTo(503);
        assertRefused(mFixture.chat(RouterFixture.KEY, true), 503, "router_stale");
    }

    @Test
    public void aRouterSuspendedBeyondItsLeaseRefusesTheFirstKeyedCall() {
        FakeEndpoint endpoint =
                mFixture.endpoint(
                        (request, socket) ->
                                socket.write(FakeResponses.full(request.attempt(), 200, "{}")));
        mFixture.publish();
        assertThat(mFixture.send(mFixture.booking(RouterFixture.KEY)).statusCode()).isEqualTo(200);
        mFixture.control().cutOff();
        mFixture.advanceClock(FakeControl.LEASE_MILLISECONDS);
        assertRefused(mFixture.booking(RouterFixture.KEY), 503, "router_stale");
        assertThat(mFixture.send(mFixture.to("/readyz").GET()).statusCode()).isEqualTo(503);
        assertThat(mFixture.send(mFixture.to("/hours/today").GET()).statusCode()).isEqualTo(200);
        assertThat(endpoint.requests()).hasSize(2);
    }

    private void assertRefused(HttpRequest.Builder request, int status, String kind) {
        HttpResponse<String> response = mFixture.send(request);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body())
                .contains("\"kind\":\"" + kind + "\"", "\"run_state\":\"not_run\"");
    }

    @Test
    public void thePageOfMetricsListsWhatTheRouterWrites() throws IOException {
        Path page = Path.of(System.getProperty("skylarkbend.root"), "docs", "METRICS.md");
        Set<String> listed =
                Files.readAllLines(page).stream()
                        .dropWhile(line -> !line.equals("## skylark-router"))
                        .skip(1)
                        .takeWhile(line -> !line.startsWith("## "))
                        .filter(line -> line.startsWith("| `"))
                        .map(line -> line.split("`")[1])
                        .collect(Collectors.toCollection(TreeSet::new));
        Set<String> written =
                mFixture.send(mFixture.to("/metrics").GET())
                        .body()
                        .lines()
                        .map(RouterProcessTest::metricOf)
                        .collect(Collectors.toCollection(TreeSet::new));
        assertThat(written).isEqualTo(listed);
    }

    private static String metricOf(String line) {
        String name = line.split("[ {]")[0].replaceAll("^skylarkbend_|_count$", "");
        return name.replaceAll("^(front_refusals|forward_failures)_.*", "$1_*");
    }
}
