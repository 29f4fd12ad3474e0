package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests requests and calls of which one step throws an exception. The exception is planted at each
 * use of the clock and the metrics in turn.
 */
public class FailingStepTest extends GatewayFixture {
    /** Longer than any wait of this test, so that no timer of the call answers it. */
    private static final long TIMEOUT_MILLISECONDS = 120_000;

    private static final long ANSWER_SECONDS = 5;
    private static final DrainSchedule DRAIN = new DrainSchedule(1, TIMEOUT_MILLISECONDS);
    private static final String UNANSWERED = "no answer";

    private final PlantedFault mFault = new PlantedFault();

    /** What a call goes through. */
    private record Scenario(
            String name, Route route, boolean mayRun, Consumer<HttpServerRequest> endpoint) {
        @Override
        public String toString() {
            return name;
        }
    }

    @Override
    protected MillisecondClock clock() {
        return mFault.clock();
    }

    @Override
    protected MetricRegistry createMetrics() {
        return mFault.metrics();
    }

    @DataProvider
    private Object[] scenarios() {
        Route once = Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS);
        Route again = Routes.of(CallKind.REPEATABLE, 2, false, TIMEOUT_MILLISECONDS);
        Route stream = Routes.of(CallKind.STREAM, 3, true, TIMEOUT_MILLISECONDS);
        return new Object[] {
            new Scenario("a call", once, true, FakeEndpoint.respondingWith(200, "done")),
            new Scenario("an error", again, true, FakeEndpoint.respondingWith(500, "failed")),
            new Scenario("a refused call", again, false, FakeEndpoint.refusing()),
            new Scenario("a stream", stream, true, FakeEndpoint.streaming(4, true)),
            new Scenario("a broken stream", stream, true, FakeEndpoint.streaming(4, false))
        };
    }

    /**
     * Guards against an exception in a step of a call that leaves its caller without an answer, or
     * takes its memory and its place for good.
     */
    @Test(dataProvider = "scenarios")
    public void aCallOfWhichAStepFailsIsAnsweredAtOnceAndLeavesNothingBehind(Scenario scenario)
            throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", scenario.endpoint());
        FakeEndpoint other = new FakeEndpoint("f", scenario.endpoint());
        await(endpoint.listen(mVertx));
        await(other.listen(mVertx));
        publish(scenario.route(), endpoint, other);
        String sound = outcome("sound");
        Map<Integer, String> unanswered = new TreeMap<>();
        boolean isReached = true;
        int use = 0;
        while (isReached) {
            use++;
            String id = "c" + use;
            mFault.plantAt(use);
            String outcome = outcome(id);
            isReached = !mFault.remove();
            if (outcome.startsWith("200") && !outcome.endsWith("cut")) {
                assertThat(outcome).as("use " + use + ": a complete answer").isEqualTo(sound);
            }
            if (UNANSWERED.equals(outcome)) {
                unanswered.put(use, outcome);
            } else if (scenario.mayRun() && (ran(endpoint, id) || ran(other, id))) {
                assertThat(outcome)
                        .as("use " + use + ": a call that may have run")
                        .doesNotStartWith("503")
                        .doesNotContain("not_run");
            }
        }
        assertThat(use).as("uses of clock and metrics").isGreaterThan(5);
        assertThat(unanswered).as("after %s uses; sound: %s", use, sound).isEmpty();
        awaitUntil(() -> heldBytes() == 0);
        awaitUntil(() -> mWork.byIncarnation().isEmpty());
        await(mGateway.drain(DRAIN));
    }

    private static boolean ran(FakeEndpoint endpoint, String id) {
        return endpoint.heads().stream().anyMatch(head -> id.equals(head.get("call-id")));
    }

    /** Returns status and body of the answer, or what happened instead. */
    private String outcome(String id) throws Exception {
        try {
            Response response =
                    await(send(Map.of("Call-Id", id)).timeout(ANSWER_SECONDS, TimeUnit.SECONDS));
            return response.status() + " " + response.body().orElse("cut");
        } catch (ExecutionException e) {
            return e.getCause() instanceof TimeoutException
                    ? UNANSWERED
                    : "closed: " + e.getCause();
        }
    }

    private long heldBytes() {
        return mMetrics.counter("gateway_held_bytes").getCount();
    }
}
