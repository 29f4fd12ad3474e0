package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/**
 * Tests many streams at once at endpoints that fall silent, refuse, fail and break off by a seeded
 * schedule: whatever reaches a caller is a run of events without gap or repetition.
 */
public class HandOverScheduleTest extends GatewayFixture {
    private static final long SEED = 20261206;
    private static final int STREAMS = 150;
    private static final int ENDPOINTS = 6;
    private static final int MAX_ATTEMPTS = 3;
    private static final int LAST_EVENT = 4;
    private static final int MAX_SILENCE_MILLISECONDS = 2_200;
    private static final long TIMEOUT_MILLISECONDS = 12_000;
    private static final String WHOLE = "whole";

    private final Map<String, AtomicInteger> mRequests = new ConcurrentHashMap<>();
    private final Set<HttpServerResponse> mOpen = ConcurrentHashMap.newKeySet();

    @Override
    protected double retryBudgetCapacity() {
        return STREAMS;
    }

    @Test
    public void noStreamHasAGapOrARepetitionWhateverItsEndpointsDo() throws Exception {
        List<FakeEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new FakeEndpoint("e" + i, this::respond));
            await(endpoints.get(i).listen(mVertx));
        }
        publish(
                Routes.of(CallKind.STREAM, MAX_ATTEMPTS, true, TIMEOUT_MILLISECONDS),
                endpoints.toArray(FakeEndpoint[]::new));
        List<Future<String>> received = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            received.add(receive("c" + i));
        }
        int whole = 0;
        for (Future<String> stream : received) {
            String text = await(stream);
            assertThat(events(LAST_EVENT) + WHOLE).startsWith(text);
            whole += text.endsWith(WHOLE) ? 1 : 0;
        }
        assertThat(whole).as("whole streams").isGreaterThan(STREAMS / 2);
        assertThat(mRequests.values())
                .allSatisfy(n -> assertThat(n).hasValueLessThanOrEqualTo(MAX_ATTEMPTS));
        awaitUntil(() -> mOpen.stream().allMatch(HttpServerResponse::closed));
        awaitUntil(() -> mWork.byIncarnation().isEmpty());
    }

    /** Returns the text that a caller receives, followed by a mark if it is whole. */
    private Future<String> receive(String id) {
        Promise<String> received = Promise.promise();
        request(Map.of("Call-Id", id))
                .compose(
                        request ->
                                request.send(Buffer.buffer("body"))
                                        .onSuccess(response -> collect(response, received)))
                .onFailure(received::tryFail);
        return received.future();
    }

    private static void collect(HttpClientResponse response, Promise<String> received) {
        StringBuilder text = new StringBuilder();
        boolean isStream = response.statusCode() == 200;
        response.handler(text::append);
        response.endHandler(done -> received.tryComplete(isStream ? text + WHOLE : ""));
        response.exceptionHandler(e -> received.tryComplete(text.toString()));
    }

    /** Responds as the seed, the call and the number of the request say. */
    private void respond(HttpServerRequest request) {
        String id = request.getHeader("Call-Id");
        int number = mRequests.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        Random random = new Random(SEED + id.hashCode() * 31L + number);
        int kind = random.nextInt(10);
        if (kind == 0) {
            FakeEndpoint.refusing().accept(request);
        } else if (kind == 1) {
            FakeEndpoint.respondingWith(500, "error").accept(request);
        } else if (kind == 2) {
            FakeEndpoint.breaking().accept(request);
        } else {
            String last = request.getHeader("Last-Event-Id");
            HttpServerResponse response = request.response().setChunked(true);
            response.putHeader("Call-Id", id).putHeader("Seal", "seal");
            mOpen.add(response);
            send(response, random, last == null ? 1 : Integer.parseInt(last) + 1);
        }
    }

    /** Sends the next event, in two parts, after a silence that may be without end. */
    private void send(HttpServerResponse response, Random random, int number) {
        if (response.closed()) {
            return;
        }
        if (number > LAST_EVENT) {
            mOpen.remove(response);
            response.end();
            return;
        }
        boolean isMute = random.nextInt(20) == 0;
        boolean isSilent = random.nextInt(3) == 0;
        int silenceMilliseconds = 1 + (isSilent ? random.nextInt(MAX_SILENCE_MILLISECONDS) : 20);
        String event = event(number);
        int half = random.nextInt(event.length() - 1) + 1;
        response.write(event.substring(0, half));
        if (!isMute) {
            mVertx.setTimer(
                    silenceMilliseconds,
                    id -> {
                        if (!response.closed()) {
                            response.write(event.substring(half));
                            send(response, random, number + 1);
                        }
                    });
        }
    }

    private static String events(int last) {
        StringBuilder events = new StringBuilder();
        for (int number = 1; number <= last; number++) {
            events.append(event(number));
        }
        return events.toString();
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: " + number + "\n\n";
    }
}
