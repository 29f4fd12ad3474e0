package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Relay;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.gateway.DrainSchedule;
import org.skylarkbend.gateway.EarlyEndpoint;
import org.skylarkbend.gateway.EarlyEndpoint.End;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.ListedEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.front.CutLink.Cut;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a gateway whose links to all endpoints fail while another gateway reaches them. */
public class CutOffGatewayTest extends GatewayFixture {
    private static final Route ROUTE = Routes.of(CallKind.REPEATABLE, 3, false, 1_500);
    private static final Route ONCE = Routes.of(CallKind.ONCE, 3, false, 1_500);

    /** Time after which callers of a gateway that is cut off are to be served like others. */
    private static final long STABLE_MILLISECONDS = 3_000;

    private static final int CALLS = 20;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nSeal: s\r\nConnection: close\r\n";

    private final List<RelayOffered> mOffers = new CopyOnWriteArrayList<>();
    private final AtomicReference<Boolean> mReady = new AtomicReference<>(false);
    private CutLink mLink;
    private GatewayTask mHelper;
    private Relay mHelperRelay;

    @Override
    protected EndpointDialer dialer() {
        mLink = new CutLink(mVertx);
        return mLink;
    }

    @Override
    protected CallerLimits callerLimits() {
        return EarlyEndpoint.limitsOfLargeBodies();
    }

    @Override
    protected void relayOffered(RelayOffered offer) {
        mOffers.add(offer);
    }

    @Override
    protected void readinessChanged(boolean ready) {
        mReady.set(ready);
    }

    @BeforeMethod(dependsOnMethods = "startGateway")
    public void startHelper() throws Exception {
        mOffers.clear();
        int relayPort = LoopbackPorts.next();
        mHelper =
                gateway(
                        LoopbackPorts.next(),
                        relayPort,
                        EndpointDialer.direct(mVertx, EndpointAccess.CONNECT_TIMEOUT_MILLISECONDS),
                        new MetricRegistry());
        await(mVertx.deployVerticle(mHelper));
        mHelperRelay = new Relay("127.0.0.1", relayPort, "z", false);
    }

    @DataProvider
    private Object[][] cuts() {
        return new Object[][] {
            {Cut.HANGING, ROUTE}, {Cut.RESETTING, ROUTE}, {Cut.REFUSING, ROUTE},
            {Cut.HANGING, ONCE}, {Cut.RESETTING, ONCE}, {Cut.REFUSING, ONCE}
        };
    }

    /** Guards against callers who are refused only because of their gateway's own links. */
    @Test(dataProvider = "cuts")
    public void callersOfAGatewayThatIsCutOffAreServedThroughAnother(Cut cut, Route route)
            throws Exception {
        List<FakeEndpoint> endpoints = listenToThree();
        publishToBoth(route, endpoints);
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        serveAll();
        runOnGateway(() -> mLink.cut(cut));
        callFor(STABLE_MILLISECONDS);
        int opened = mLink.opened();
        serveAll();
        assertThat(mLink.opened()).as("connections of the gateway itself").isEqualTo(opened);
        assertThat(mMetrics.counter("gateway_endpoint_crashes").getCount())
                .as("engines reported as crashed")
                .isZero();
    }

    /** Guards against a gateway that keeps to its relays when its own links are back. */
    @Test
    public void aGatewayUsesItsOwnLinksAgainWhenTheyAreBack() throws Exception {
        publishToBoth(ROUTE, listenToThree());
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.HANGING));
        callFor(STABLE_MILLISECONDS);
        mLink.heal();
        awaitUntil(() -> mOffers.get(mOffers.size() - 1).isOpen());
        callFor(STABLE_MILLISECONDS);
        int opened = mLink.opened();
        assertThat(opened).isPositive();
        await(mVertx.undeploy(mHelper.deploymentID()));
        serveAll();
    }

    /**
     * Guards against callers without a way while the gateways that have one are stopped in turn.
     */
    @Test
    public void aGatewayThatIsAboutToEndStillServesOthers() throws Exception {
        publishToBoth(ROUTE, listenToThree());
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.RESETTING));
        mHelper.drain(new DrainSchedule(10_000, 20_000));
        awaitUntil(() -> mOffers.stream().anyMatch(offer -> offer.relay().leaving()));
        callFor(STABLE_MILLISECONDS);
        serveAll();
    }

    /** Guards against a gateway that is offered to others although it is cut off itself. */
    @Test
    public void aGatewayThatIsCutOffWithdrawsItsOffer() throws Exception {
        publishToBoth(ROUTE, listenToThree());
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.REFUSING));
        callFor(STABLE_MILLISECONDS);
        awaitUntil(() -> mOffers.stream().anyMatch(offer -> !offer.isOpen()));
        assertThat(mReady.get()).as("ready").isTrue();
    }

    /** Guards against callers that are sent to a gateway that reaches no endpoint by any way. */
    @Test
    public void aGatewayWithoutAnyWayIsNotReady() throws Exception {
        publishToBoth(ROUTE, listenToThree());
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.REFUSING));
        callFor(STABLE_MILLISECONDS);
        await(mVertx.undeploy(mHelper.deploymentID()));
        awaitUntil(
                () -> {
                    send(Map.of());
                    return !mReady.get();
                });
        Response refused = call();
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.head()).containsEntry("connection", "close");
    }

    /** Guards against a response without length whose end is lost with a relay. */
    @Test
    public void aResponseWithoutLengthThatIsCutWithItsRelayIsNotWhole() throws Exception {
        AtomicReference<NetSocket> served = new AtomicReference<>();
        RawServer endpoint =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            socket.write(HEAD + "\r\nhalf");
                            served.set(socket);
                        });
        Endpoint listed = publishRaw(endpoint);
        Future<Response> response = send(Map.of());
        awaitUntil(() -> served.get() != null);
        await(mVertx.undeploy(mHelper.deploymentID()));
        assertThat(await(response).status()).as("of %s", listed.address()).isEqualTo(502);
    }

    /** Guards against a reset of an endpoint that a relay passes on as a regular end. */
    @Test
    public void aResponseWithoutLengthThatIsResetBehindARelayIsNotWhole() throws Exception {
        publishRaw(
                new RawServer(
                        mVertx,
                        (request, socket) ->
                                socket.write(HEAD + "\r\nhalf")
                                        .onSuccess(ignored -> RawServer.reset(socket))));
        assertThat(call().status()).isEqualTo(502);
    }

    /** Guards against a promise that no endpoint made and that reaches a caller through a relay. */
    @Test
    public void aRefusalBehindARelayThatDoesNotStateItPromisesNothing() throws Exception {
        String refusal = HEAD.replace("200 OK", "503 Busy") + "Content-Length: 0\r\n\r\n";
        publishRaw(new RawServer(mVertx, (request, socket) -> socket.write(refusal)));
        Response reply = call();
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.body().orElse("")).contains("may_have_run");
    }

    /** Guards against a response whose end a relay withholds. */
    @Test
    public void aResponseWithoutLengthArrivesWholeThroughARelay() throws Exception {
        String body = "x".repeat(300_000);
        publishRaw(
                new RawServer(
                        mVertx,
                        (request, socket) ->
                                socket.write(HEAD + "\r\n" + body)
                                        .onSuccess(ignored -> socket.close())));
        assertThat(call().body()).contains(body);
    }

    /** Guards against requests that a relay changes or cuts short. */
    @Test
    public void aLargeBodyArrivesThroughARelay() throws Exception {
        RawServer endpoint =
                new RawServer(
                        mVertx,
                        (request, socket) -> socket.write(HEAD + "Content-Length: 2\r\n\r\nok"));
        publishRaw(endpoint);
        String body = "y".repeat(500_000);
        assertThat(await(send(Map.of(), Buffer.buffer(body))).body()).contains("ok");
        assertThat(endpoint.requests().get(0).body()).isEqualTo(body);
    }

    /** Guards against work that is left behind at an endpoint when a caller has left. */
    @Test
    public void anEndpointBehindARelaySeesThatTheCallerHasLeft() throws Exception {
        AtomicReference<NetSocket> served = new AtomicReference<>();
        RawServer endpoint = new RawServer(mVertx, (request, socket) -> served.set(socket));
        publishRaw(endpoint);
        Future<Response> response = send(Map.of());
        awaitUntil(() -> served.get() != null);
        await(mClient.close());
        awaitUntil(endpoint::hasClosed);
        assertThat(response.isComplete()).isTrue();
    }

    @DataProvider
    private Object[][] unfinishedUploads() {
        return new Object[][] {
            {200_000, End.RESET}, {EarlyEndpoint.UNBUFFERED_BYTES, End.CLOSE_THEN_RESET}
        };
    }

    /** Guards against a part of a response that a relay passes on as a whole one. */
    @Test(dataProvider = "unfinishedUploads")
    public void aResponseWithoutLengthIsIncompleteIfARelayCouldNotSendItsRequest(int bytes, End end)
            throws Exception {
        EarlyEndpoint endpoint = new EarlyEndpoint(HEAD + "\r\nthe first part", 30, end);
        await(endpoint.listen(mVertx));
        publish(ONCE, endpoint.listed());
        publishTo(mHelper, ONCE, endpoint.listed());
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.REFUSING));
        Buffer body = Buffer.buffer(new byte[bytes]);
        assertThat(await(send(Map.of("Call-Id", "c1"), body)).status()).isEqualTo(502);
    }

    /** Guards against a relay that connects to any address that it is given. */
    @Test
    public void aRelayConnectsToListedEndpointsOnly() throws Exception {
        FakeEndpoint unlisted = new FakeEndpoint("u", FakeEndpoint.respondingWith(200, "no"));
        await(unlisted.listen(mVertx));
        publish(ROUTE, unlisted);
        publishTo(mHelper, ROUTE);
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.REFUSING));
        assertThat(call().status()).isEqualTo(503);
        assertThat(unlisted.heads()).isEmpty();
    }

    private List<FakeEndpoint> listenToThree() throws Exception {
        List<FakeEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            FakeEndpoint endpoint =
                    new FakeEndpoint("e" + i, FakeEndpoint.respondingWith(200, "ok"));
            await(endpoint.listen(mVertx));
            endpoints.add(endpoint);
        }
        return endpoints;
    }

    private void publishToBoth(Route route, List<FakeEndpoint> endpoints) throws Exception {
        Endpoint[] listed = endpoints.stream().map(FakeEndpoint::listed).toArray(Endpoint[]::new);
        publish(route, listed);
        publishTo(mHelper, route, listed);
    }

    /** Lists one endpoint, which only the helper reaches. */
    private Endpoint publishRaw(RawServer server) throws Exception {
        Endpoint endpoint = ListedEndpoint.of("raw", await(server.listen()));
        publish(ONCE, endpoint);
        publishTo(mHelper, ONCE, endpoint);
        mGateway.relaysListed(new RelaysListed(List.of(mHelperRelay), 2));
        runOnGateway(() -> mLink.cut(Cut.REFUSING));
        return endpoint;
    }

    /** Makes calls, which may fail, for a time. */
    private void callFor(long milliseconds) throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (System.nanoTime() < untilNanoseconds) {
            call();
        }
    }

    private void serveAll() throws Exception {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            statuses.add(call().status());
        }
        assertThat(statuses).containsOnly(200);
    }
}
