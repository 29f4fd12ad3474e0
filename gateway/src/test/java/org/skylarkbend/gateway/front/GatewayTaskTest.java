package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.gateway.FakeEndpoint.breaking;
import static org.skylarkbend.gateway.FakeEndpoint.refusing;
import static org.skylarkbend.gateway.FakeEndpoint.respondingWith;
import static org.skylarkbend.gateway.FakeEndpoint.streaming;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.testng.annotations.Test;

/**
 * Tests calls through a gateway to endpoints that respond, refuse, break the connection or fall
 * silent.
 */
public class GatewayTaskTest extends GatewayFixture {
    /** Timeout of the routes in tests that check the timeout. */
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    private static final Map<String, String> PROMPT =
            Map.of("Model", "m", "Tokens", "30,1", "Parts", "common:10,deadly:10,own:10");

    @Test
    public void beforeACatalogIsKnownACallIsRefusedAsNotRun() throws Exception {
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsKey("retry-after");
        assertThat(reply.body()).hasValueSatisfying(b -> assertThat(b).contains("not_run"));
    }

    @Test
    public void aCallThatArrivesShortlyBeforeTheGatewayIsReadyIsServed() throws Exception {
        FakeEndpoint[] endpoints = listen(respondingWith(200, "done"));
        Promise<Void> arrived = Promise.promise();
        // The gateway sends "100 Continue" in the same event loop turn in which it queues a call
        // without a body.
        Future<Response> reply =
                request(Map.of("Expect", "100-continue"))
                        .compose(
                                request ->
                                        request.continueHandler(arrived::tryComplete)
                                                .send()
                                                .compose(GatewayTaskTest::toResponse));
        await(arrived.future());
        publish(Routes.of(CallKind.ONCE, 1, false), endpoints);
        assertThat(await(reply).status()).isEqualTo(200);
    }

    @Test
    public void aResponseKeepsItsSealAndTheKeyIsNotForwarded() throws Exception {
        FakeEndpoint endpoint = listen(respondingWith(200, "done"))[0];
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), endpoint);
        Response reply = call(Map.of("Customer", "forged", "Cache-Scope", "forged", "X-Own", "1"));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).contains("done");
        assertThat(reply.head()).containsEntry("seal", "seal");
        Map<String, String> sent = endpoint.heads().get(0);
        assertThat(sent)
                .containsEntry("customer", "one")
                .containsEntry("expect-instance", "e0")
                .containsEntry("x-own", "1")
                .containsEntry("call-id", "c1")
                .doesNotContainKeys("authorization", "cache-scope");
        assertThat(Long.parseLong(sent.get("wait-milliseconds"))).isBetween(1L, 2_000L);
    }

    @Test
    public void aCallThatMayRunOnceIsNotRepeatedAfterAConnectionBroke() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.ONCE, 2, false, breaking(), breaking());
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(502);
        assertThat(sent(endpoints)).isEqualTo(1);
    }

    @Test
    public void aCallThatMayRunOnceIsRetriedElsewhereWhenItWasNotRun() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.ONCE, 2, false, refusing(), refusing());
        endpoints[1].behave(respondingWith(200, "done"));
        assertThat(call(Map.of()).status()).isEqualTo(200);
    }

    @Test
    public void aCallThatNoEndpointRanIsRefusedAsNotRun() throws Exception {
        serve(CallKind.ONCE, 2, false, refusing(), refusing());
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsKey("retry-after").doesNotContainKey("seal");
    }

    @Test
    public void aRepeatableCallIsRepeatedAfterAFaultAndTheLastResponseIsPassedOn()
            throws Exception {
        FakeEndpoint[] endpoints =
                serve(
                        CallKind.REPEATABLE,
                        2,
                        false,
                        respondingWith(500, "a"),
                        respondingWith(500, "b"));
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(500);
        assertThat(reply.head()).containsEntry("seal", "seal");
        assertThat(sent(endpoints)).isEqualTo(2);
    }

    @Test
    public void aCallWithAQuarantinedPartIsRefusedAsNotRunWithTheTimeToComeBack() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.STREAM, 1, false, streaming(1, true));
        quarantine("deadly");
        Response reply = call(PROMPT);
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.body()).hasValueSatisfying(b -> assertThat(b).contains("not_run"));
        assertThat(Double.parseDouble(reply.head().get("retry-after"))).isBetween(50.0, 60.0);
        assertThat(sent(endpoints)).isZero();
        assertThat(
                        call(Map.of("Model", "m", "Tokens", "20,1", "Parts", "common:10,own:10"))
                                .status())
                .as("other prompts of the same caller")
                .isEqualTo(200);
    }

    @Test
    public void aCallThatWaitsAtAnEngineIsTakenBackWhenItsPartIsQuarantined() throws Exception {
        FakeEndpoint endpoint = serve(CallKind.STREAM, 1, false, request -> {})[0];
        Future<Response> reply = send(PROMPT);
        awaitUntil(() -> endpoint.heads().size() == 1);
        quarantine("deadly");
        assertThat(await(reply).status()).as("it may have run").isEqualTo(502);
    }

    @Test
    public void aStreamThatHasEventsGoesOnElsewhereAlthoughItsPartIsQuarantined() throws Exception {
        FakeEndpoint[] endpoints =
                serve(CallKind.STREAM, 2, true, streaming(1, false), streaming(1, false));
        quarantine("other");
        Promise<Void> resumed = Promise.promise();
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.behave(
                    request -> {
                        if (request.getHeader("Last-Event-Id") == null) {
                            streaming(1, false).accept(request);
                        } else {
                            resumed.future()
                                    .onSuccess(ignored -> streaming(3, true).accept(request));
                        }
                    });
        }
        Future<Response> reply = send(PROMPT);
        awaitUntil(() -> sent(endpoints) == 2);
        quarantine("deadly");
        resumed.complete();
        assertThat(await(reply).body())
                .hasValueSatisfying(body -> assertThat(body).contains("id: 1", "id: 3"));
    }

    private void quarantine(String part) {
        PartCombination combination = PartCombination.of(List.of(new PromptPart("m", part)));
        mGateway.quarantineChanged(new QuarantineNotice(Set.of(), Map.of(combination, 60_000L)));
    }

    @Test
    public void aResponseToAnotherCallNeverReachesTheCaller() throws Exception {
        FakeEndpoint endpoint =
                new FakeEndpoint(
                        "e0",
                        request ->
                                request.response()
                                        .putHeader("Call-Id", "other")
                                        .putHeader("Seal", "seal")
                                        .end("not yours"));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 1_000), endpoint);
        Response reply = call(Map.of());
        assertThat(reply.status()).as("its own response may still come").isEqualTo(504);
        assertThat(reply.body()).hasValueSatisfying(b -> assertThat(b).doesNotContain("yours"));
    }

    @Test
    public void aResumableStreamContinuesAtAnotherEndpointWithoutGapOrRepetition()
            throws Exception {
        FakeEndpoint[] endpoints =
                serve(CallKind.STREAM, 2, true, streaming(3, false), streaming(3, false));
        endpoints[1].behave(streaming(5, true));
        endpoints[0].behave(
                request ->
                        (request.getHeader("Last-Event-Id") == null
                                        ? streaming(3, false)
                                        : streaming(5, true))
                                .accept(request));
        Response reply = call(Map.of());
        assertThat(reply.body())
                .hasValueSatisfying(
                        body -> {
                            for (int event = 1; event <= 5; event++) {
                                assertThat(body).containsOnlyOnce("id: " + event + "\n");
                            }
                        });
    }

    @Test
    public void aStreamThatCannotBeResumedIsAbortedSoThatTheCallerNotices() throws Exception {
        serve(CallKind.STREAM, 2, false, streaming(3, false), streaming(3, false));
        Response reply = call(Map.of());
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body()).isEmpty();
    }

    @Test
    public void aCallWithoutAResponseEndsWhenItsRouteSaysSo() throws Exception {
        publish(Routes.of(CallKind.ONCE, 1, false, TIMEOUT_MILLISECONDS), listen(request -> {}));
        long beganNanoseconds = System.nanoTime();
        Response reply = call(Map.of());
        long tookMilliseconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanoseconds);
        assertThat(reply.status()).isEqualTo(504);
        assertThat(tookMilliseconds).isGreaterThanOrEqualTo(1_990);
    }

    @Test
    public void anEndpointSeesItsConnectionCloseWhenTheCallerLeaves() throws Exception {
        Promise<Void> closed = Promise.promise();
        Promise<Void> arrived = Promise.promise();
        serve(
                CallKind.REPEATABLE,
                1,
                false,
                request -> {
                    request.connection().closeHandler(ignored -> closed.tryComplete());
                    arrived.tryComplete();
                });
        Future<Response> reply = send(Map.of());
        await(arrived.future());
        await(mClient.close());
        await(closed.future());
        assertThat(reply.failed() || !reply.isComplete() || reply.result().status() != 200)
                .isTrue();
    }

    @Test
    public void aDrainingGatewayServesUntilTheLoadBalancerHasNoticedAndThenRefuses()
            throws Exception {
        serve(CallKind.ONCE, 1, false, respondingWith(200, "done"));
        Future<Void> drained = mGateway.drain(new DrainSchedule(5_000, 10_000));
        Response served = call(Map.of());
        assertThat(served.status()).isEqualTo(200);
        assertThat(served.head()).containsEntry("connection", "close");
        await(drained);
        assertThat(call(Map.of()).status()).isEqualTo(503);
    }

    /** Guards against calls that a planned stop cuts without a response. */
    @Test
    public void aCallThatIsStillRunningWhenTheDrainEndsGetsAResponse() throws Exception {
        FakeEndpoint[] endpoints = serve(CallKind.ONCE, 1, false, request -> {});
        Future<Response> running = send(Map.of());
        awaitUntil(() -> endpoints[0].heads().size() == 1);
        Future<Void> drained = mGateway.drain(new DrainSchedule(50, 100));
        Response response = await(running);
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.body().orElse("")).contains("may_have_run");
        await(drained);
    }

    /** Guards against the text of an error in a stream, and against streams that never end. */
    @Test
    public void aStreamThatNoEndpointResumesIsBrokenOffWithoutTheTextOfTheError() throws Exception {
        for (int status : new int[] {400, 404, 500, 503, 204}) {
            FakeEndpoint first = new FakeEndpoint("first", FakeEndpoint.streaming(3, false));
            FakeEndpoint next =
                    new FakeEndpoint(
                            "next",
                            request -> {
                                if (request.getHeader("Last-Event-Id") == null) {
                                    FakeEndpoint.refusing().accept(request);
                                } else {
                                    FakeEndpoint.respondingWith(status, "error").accept(request);
                                }
                            });
            await(first.listen(mVertx));
            await(next.listen(mVertx));
            publish(Routes.of(CallKind.STREAM, 3, true, 120_000), first, next);
            assertThat(receivedBeforeTheEnd())
                    .as("status %d", status)
                    .contains("id: 3")
                    .doesNotContain("error")
                    .doesNotContain("id: 4")
                    .endsWith("broken");
        }
    }

    /** Returns what a caller receives, followed by how the response ended. */
    private String receivedBeforeTheEnd() throws Exception {
        Promise<String> received = Promise.promise();
        StringBuilder text = new StringBuilder();
        request(Map.of())
                .compose(
                        request ->
                                request.send(Buffer.buffer("body"))
                                        .onSuccess(response -> collect(response, text, received)))
                .onFailure(received::tryFail);
        return await(received.future());
    }

    private static void collect(
            HttpClientResponse response, StringBuilder text, Promise<String> received) {
        response.handler(text::append);
        response.endHandler(done -> received.tryComplete(text + "complete"));
        response.exceptionHandler(e -> received.tryComplete(text + "broken"));
    }

    @SafeVarargs
    private FakeEndpoint[] serve(
            CallKind kind,
            int maxAttempts,
            boolean resumable,
            java.util.function.Consumer<io.vertx.core.http.HttpServerRequest>... behaviors)
            throws Exception {
        FakeEndpoint[] endpoints = listen(behaviors);
        publish(Routes.of(kind, maxAttempts, resumable), endpoints);
        return endpoints;
    }

    @SafeVarargs
    private FakeEndpoint[] listen(
            java.util.function.Consumer<io.vertx.core.http.HttpServerRequest>... behaviors)
            throws Exception {
        FakeEndpoint[] endpoints = new FakeEndpoint[behaviors.length];
        for (int i = 0; i < behaviors.length; i++) {
            endpoints[i] = new FakeEndpoint("e" + i, behaviors[i]);
            await(endpoints[i].listen(mVertx));
        }
        return endpoints;
    }

    private static int sent(FakeEndpoint... endpoints) {
        return java.util.Arrays.stream(endpoints).mapToInt(e -> e.heads().size()).sum();
    }
}
