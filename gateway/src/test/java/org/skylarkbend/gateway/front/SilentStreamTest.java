package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.ListedEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.LoopbackPorts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests resumable streams of endpoints that fall silent, and may go on. */
public class SilentStreamTest extends GatewayFixture {
    private static final Route ROUTE = Routes.of(CallKind.STREAM, 3, true);
    private static final long[] SILENCES_MILLISECONDS = {900, 1_300, 1_800, 2_500};
    private static final int STREAMS_OF_A_SILENCE = 4;

    /** Longer than the time for which two endpoints may work on a stream. */
    private static final long LATE_REFUSAL_MILLISECONDS = 350;

    private static final long LONG_SILENCE_MILLISECONDS = 2_500;

    /** Silence of an endpoint that goes on while its successor is being asked. */
    private static final long SHORT_SILENCE_MILLISECONDS = 1_600;

    /** Time until the stream of a mute endpoint has gone on elsewhere. */
    private static final long MAX_MUTE_MILLISECONDS = 1_900;

    /** Time for which two endpoints may work on the same stream. */
    private static final long MAX_BOTH_MILLISECONDS = 400;

    private volatile Runnable mOnBothReported = () -> {};

    @Override
    protected void workReported(WorkUnderWay work) {
        super.workReported(work);
        if (work.byIncarnation().size() == 2) {
            mOnBothReported.run();
        }
    }

    @DataProvider
    private Object[][] neighbors() {
        return new Object[][] {
            {"none", null},
            {"one that refuses", FakeEndpoint.refusing()},
            {"one that fails", FakeEndpoint.respondingWith(500, "error")},
            {"one that does not know the stream", FakeEndpoint.respondingWith(404, "error")},
            {"one that breaks the connection", FakeEndpoint.breaking()}
        };
    }

    /** Guards against a sound stream that is ended because nothing can take its place. */
    @Test(dataProvider = "neighbors")
    public void aSoundStreamThatWasSilentArrivesWholeBeside(
            String name, Consumer<HttpServerRequest> neighbor) throws Exception {
        if (neighbor == null) {
            assertAllArriveWholeBeside();
        } else {
            FakeEndpoint other = new FakeEndpoint("other", neighbor);
            await(other.listen(mVertx));
            assertAllArriveWholeBeside(other.listed());
        }
    }

    /** Guards against a sound stream that is ended before its successor has refused it. */
    @Test
    public void aSoundStreamThatWasSilentArrivesWholeBesideOneThatRefusesLate() throws Exception {
        Consumer<HttpServerRequest> refusing = FakeEndpoint.refusing();
        FakeEndpoint other =
                listen(
                        "other",
                        request ->
                                mVertx.setTimer(
                                        LATE_REFUSAL_MILLISECONDS, id -> refusing.accept(request)));
        assertAllArriveWholeBeside(other.listed());
    }

    /** Guards against a sound stream that is ended before its successor has a connection. */
    @Test
    public void aSoundStreamThatWasSilentArrivesWholeBesideOneThatRefusesConnections()
            throws Exception {
        assertAllArriveWholeBeside(ListedEndpoint.of("closed", LoopbackPorts.next()));
    }

    /** Guards against a sound stream that is ended for an endpoint that accepts it and is mute. */
    @Test
    public void aSoundStreamThatWasSilentArrivesWholeBesideAMuteEndpoint() throws Exception {
        assertAllArriveWholeBeside(listen("mute", request -> {}).listed());
    }

    /** Guards against a sound stream that is ended because its endpoint refused a probe. */
    @Test(dataProvider = "neighbors")
    public void aStreamWhoseEndpointAcceptsNoMoreConnectionsArrivesWholeBeside(
            String name, Consumer<HttpServerRequest> neighbor) throws Exception {
        SilentEndpoints.OneConnection full = new SilentEndpoints.OneConnection();
        publish(ROUTE, full.listed());
        Future<Void> served = full.serve(mVertx, "c1", LONG_SILENCE_MILLISECONDS);
        Future<Response> response = send(Map.of());
        awaitUntil(() -> mMetrics.histogram("gateway_first_event_milliseconds").getCount() == 1);
        if (neighbor != null) {
            FakeEndpoint other = new FakeEndpoint("other", neighbor);
            await(other.listen(mVertx));
            publish(ROUTE, full.listed(), other.listed());
        }
        assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        await(served);
    }

    /** Guards against a mute endpoint that is kept although another one takes up its stream. */
    @Test
    public void theStreamOfAMuteEndpointGoesOnElsewhereAtOnce() throws Exception {
        FakeEndpoint mute = listen("mute", SilentEndpoints.mute());
        FakeEndpoint refusing = listen("refusing", FakeEndpoint.refusing());
        FakeEndpoint sound = listen("sound", SilentEndpoints.resumingAfter(mVertx, 0));
        publish(ROUTE, mute);
        long beganNanoseconds = System.nanoTime();
        Future<Response> response = sendTo(mute, 0, "c1");
        publish(ROUTE, mute, refusing, sound);
        assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        assertThat(millisecondsSince(beganNanoseconds)).isLessThan(MAX_MUTE_MILLISECONDS);
    }

    /** Guards against pieces that come twice, or not at all, when both endpoints go on. */
    @Test
    public void aStreamThatBothEndpointsContinueArrivesOnce() throws Exception {
        SharedStreams streams = new SharedStreams(mVertx);
        mOnBothReported = streams::goOn;
        FakeEndpoint silent = listen("silent", streams::first);
        FakeEndpoint sound = listen("sound", streams::second);
        publish(ROUTE, silent);
        List<Future<Response>> responses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (long milliseconds = 5; milliseconds < 100; milliseconds += 10) {
            ids.add("c" + milliseconds);
            responses.add(send(headers(milliseconds, "c" + milliseconds)));
        }
        awaitUntil(() -> silent.heads().size() == responses.size());
        publish(ROUTE, silent, sound);
        streams.begin();
        assertWhole(responses);
        assertThat(sound.heads().stream().map(head -> head.get("call-id")))
                .as("streams that were resumed")
                .containsAll(ids);
        awaitUntil(() -> mWork.byIncarnation().isEmpty());
    }

    /** Guards against an endpoint that is ended although it went on before its successor. */
    @Test
    public void aSilentEndpointThatGoesOnFirstKeepsItsStream() throws Exception {
        AtomicLong arrivedNanoseconds = new AtomicLong();
        AtomicLong closedNanoseconds = new AtomicLong();
        FakeEndpoint silent = listen("silent", SilentEndpoints.streamingWithASilence(mVertx));
        FakeEndpoint slow = listen("slow", noting(arrivedNanoseconds, closedNanoseconds));
        publish(ROUTE, silent);
        Future<Response> response = sendTo(silent, SHORT_SILENCE_MILLISECONDS, "c1");
        publish(ROUTE, silent, slow);
        assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        awaitUntil(() -> closedNanoseconds.get() != 0);
        assertThat(slow.heads()).hasSize(1);
    }

    /** Guards against two endpoints that work on one stream for longer than allowed. */
    @Test
    public void theSilentEndpointIsStoppedSoonAfterItsSuccessorWasAsked() throws Exception {
        AtomicLong arrivedNanoseconds = new AtomicLong();
        AtomicLong closedNanoseconds = new AtomicLong();
        FakeEndpoint mute =
                listen(
                        "mute",
                        request -> {
                            noteClose(request, closedNanoseconds);
                            SilentEndpoints.mute().accept(request);
                        });
        FakeEndpoint slow =
                listen(
                        "slow",
                        request -> {
                            arrivedNanoseconds.set(System.nanoTime());
                            SilentEndpoints.resumingAfter(mVertx, 1_000).accept(request);
                        });
        publish(ROUTE, mute);
        Future<Response> response = sendTo(mute, 0, "c1");
        publish(ROUTE, mute, slow);
        assertThat(await(response).body()).contains(SilentEndpoints.events(1));
        awaitUntil(() -> closedNanoseconds.get() != 0);
        long bothMilliseconds =
                TimeUnit.NANOSECONDS.toMillis(closedNanoseconds.get() - arrivedNanoseconds.get());
        assertThat(bothMilliseconds).isLessThan(MAX_BOTH_MILLISECONDS);
    }

    /** Guards against work that is left behind when the caller leaves between two endpoints. */
    @Test
    public void bothEndpointsAreStoppedWhenTheCallerLeaves() throws Exception {
        AtomicLong firstClosedNanoseconds = new AtomicLong();
        AtomicLong arrivedNanoseconds = new AtomicLong();
        AtomicLong closedNanoseconds = new AtomicLong();
        FakeEndpoint mute =
                listen(
                        "mute",
                        request -> {
                            noteClose(request, firstClosedNanoseconds);
                            SilentEndpoints.mute().accept(request);
                        });
        Promise<Void> left = Promise.promise();
        Consumer<HttpServerRequest> noting = noting(arrivedNanoseconds, closedNanoseconds);
        FakeEndpoint next =
                listen(
                        "next",
                        request -> {
                            noting.accept(request);
                            mClient.close().onComplete(ignored -> left.complete());
                        });
        publish(ROUTE, mute);
        sendTo(mute, 0, "c1");
        publish(ROUTE, mute, next);
        await(left.future());
        awaitUntil(() -> firstClosedNanoseconds.get() != 0 && closedNanoseconds.get() != 0);
    }

    /** Guards against a stream that runs at more endpoints than its route allows. */
    @Test
    public void aSilentStreamRunsAtNoMoreEndpointsThanItsRouteAllows() throws Exception {
        List<FakeEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            endpoints.add(listen("e" + i, SilentEndpoints.mute()));
        }
        publish(Routes.of(CallKind.STREAM, 3, true, 6_000), endpoints.toArray(FakeEndpoint[]::new));
        assertThat(call().body()).as("a stream that is not whole").isEmpty();
        assertThat(endpoints.stream().mapToInt(e -> e.heads().size()).sum()).isEqualTo(3);
    }

    private void assertAllArriveWholeBeside(Endpoint... others) throws Exception {
        FakeEndpoint silent = listen("silent", SilentEndpoints.streamingWithASilence(mVertx));
        publish(ROUTE, silent);
        List<Future<Response>> responses = new ArrayList<>();
        for (long milliseconds : SILENCES_MILLISECONDS) {
            for (int i = 0; i < STREAMS_OF_A_SILENCE; i++) {
                responses.add(send(headers(milliseconds, "c" + milliseconds + "-" + i)));
            }
        }
        awaitUntil(() -> silent.heads().size() == responses.size());
        List<Endpoint> listed = new ArrayList<>(List.of(others));
        listed.add(silent.listed());
        publish(ROUTE, listed.toArray(Endpoint[]::new));
        assertWhole(responses);
    }

    private static void assertWhole(List<Future<Response>> responses) throws Exception {
        int lost = 0;
        for (Future<Response> response : responses) {
            boolean isWhole =
                    await(response).body().filter(SilentEndpoints.events(1)::equals).isPresent();
            lost += isWhole ? 0 : 1;
        }
        assertThat(lost).as("streams lost of %d", responses.size()).isZero();
    }

    private Future<Response> sendTo(FakeEndpoint endpoint, long silenceMilliseconds, String id)
            throws Exception {
        Future<Response> response = send(headers(silenceMilliseconds, id));
        awaitUntil(() -> endpoint.heads().size() == 1);
        return response;
    }

    private static Map<String, String> headers(long silenceMilliseconds, String id) {
        return Map.of(
                SilentEndpoints.SILENCE_HEADER,
                SilentEndpoints.silence(silenceMilliseconds),
                "Call-Id",
                id);
    }

    private FakeEndpoint listen(String id, Consumer<HttpServerRequest> behavior) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint(id, behavior);
        await(endpoint.listen(mVertx));
        return endpoint;
    }

    private static Consumer<HttpServerRequest> noting(
            AtomicLong arrivedNanoseconds, AtomicLong closedNanoseconds) {
        return request -> {
            arrivedNanoseconds.set(System.nanoTime());
            noteClose(request, closedNanoseconds);
        };
    }

    private static void noteClose(HttpServerRequest request, AtomicLong closedNanoseconds) {
        request.connection().closeHandler(ignored -> closedNanoseconds.set(System.nanoTime()));
    }

    private static long millisecondsSince(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoseconds);
    }
}
