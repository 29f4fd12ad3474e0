package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/**
 * Tests streams that wait for their first event at sound engines, which read one prompt after the
 * other. Each stream would be served within the timeout of its route where it is.
 */
public class ReadingEngineTest extends GatewayFixture {
    private static final long SEED = 20261208;
    private static final int ENGINES = 4;

    /** Prompts at each engine at first. A stream then waits longer than a silence may last. */
    private static final int FIRST_PROMPTS = 9;

    /** Later prompts for each engine, which come as fast as it reads. */
    private static final int LATER_PROMPTS = 10;

    private static final int STREAMS = ENGINES * (FIRST_PROMPTS + LATER_PROMPTS);
    private static final int SHORTEST_READ_MILLISECONDS = 360;
    private static final int READ_RANGE_MILLISECONDS = 80;
    private static final long ARRIVAL_MILLISECONDS = 400;
    private static final long TIMEOUT_MILLISECONDS = 5_000;

    /** The budgets of many gateways together allow a retry of each stream. */
    @Override
    protected double retryBudgetCapacity() {
        return STREAMS;
    }

    /** Shows that the engines serve each stream in time if it stays where it was sent. */
    @Test
    public void streamsThatMayBeSentOnceAreServedByEnginesWhichReadOtherPrompts() throws Exception {
        assertThat(lostStreams(1)).as("streams lost of %d", STREAMS).isZero();
    }

    /** Guards against streams that lose their place at a sound engine to one that is as busy. */
    @Test
    public void streamsThatMayBeSentAgainAreServedByEnginesWhichReadOtherPrompts()
            throws Exception {
        int lost = lostStreams(2);
        long handOvers = mMetrics.counter("gateway_handovers_started").getCount();
        assertThat(lost).as("streams lost of %d, with %d hand-overs", STREAMS, handOvers).isZero();
    }

    private int lostStreams(int maxAttempts) throws Exception {
        Random random = new Random(SEED);
        FakeEndpoint[] engines = new FakeEndpoint[ENGINES];
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine(mVertx, new Random(random.nextLong()));
            engines[i] = new FakeEndpoint("e" + i, engine::request);
            await(engines[i].listen(mVertx));
        }
        publish(Routes.of(CallKind.STREAM, maxAttempts, true, TIMEOUT_MILLISECONDS), engines);
        List<Future<Response>> responses = new ArrayList<>();
        while (responses.size() < ENGINES * FIRST_PROMPTS) {
            responses.add(send(Map.of("Call-Id", "c" + responses.size())));
        }
        while (responses.size() < STREAMS) {
            await(mVertx.timer(ARRIVAL_MILLISECONDS, TimeUnit.MILLISECONDS));
            for (int i = 0; i < ENGINES; i++) {
                responses.add(send(Map.of("Call-Id", "c" + responses.size())));
            }
        }
        int lost = 0;
        for (Future<Response> response : responses) {
            boolean isWhole =
                    await(response).body().filter(SilentEndpoints.events(1)::equals).isPresent();
            lost += isWhole ? 0 : 1;
        }
        return lost;
    }

    /**
     * Engine that reads one prompt after the other and then sends the stream. It drops a prompt
     * whose connection is closed. Confined to the event loop of its server.
     */
    private static final class Engine {
        private final Vertx mVertx;
        private final Random mRandom;
        private final Deque<HttpServerRequest> mWaiting = new ArrayDeque<>();
        private HttpServerRequest mReading;
        private long mTimer;

        Engine(Vertx vertx, Random random) {
            mVertx = vertx;
            mRandom = random;
        }

        void request(HttpServerRequest request) {
            request.connection().closeHandler(ignored -> drop(request));
            mWaiting.add(request);
            readNext();
        }

        private void drop(HttpServerRequest request) {
            mWaiting.remove(request);
            if (request == mReading) {
                mVertx.cancelTimer(mTimer);
                mReading = null;
                readNext();
            }
        }

        private void readNext() {
            if (mReading == null && !mWaiting.isEmpty()) {
                mReading = mWaiting.remove();
                long milliseconds =
                        SHORTEST_READ_MILLISECONDS + mRandom.nextInt(READ_RANGE_MILLISECONDS);
                mTimer = mVertx.setTimer(milliseconds, id -> respond());
            }
        }

        private void respond() {
            SilentEndpoints.head(mReading).end(SilentEndpoints.events(1));
            mReading = null;
            readNext();
        }
    }
}
