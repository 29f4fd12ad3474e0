package org.skylarkbend.router.watch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.access.AccessDecider;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.EndpointCondition;
import org.skylarkbend.publishing.PublishedRevision;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.SetReader;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.router.RouterSettings;
import org.skylarkbend.router.RouterSettingsReader;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the endpoint status derived from load reports and from a stale platform list. */
public class EndpointWatchTaskTest {
    private static final ObjectName ENGINE = ObjectName.of("engine-1");
    private static final long PATIENCE_SECONDS = 30;
    private static final int POLLS = 6;

    /** Several times the connections that a client opens to one address at a time. */
    private static final int SILENT_POLLS = 30;

    private static final String LAGGING_LIST =
            "{\"generation\":1,\"endpoints\":[{\"name\":\"engine-1\",\"state\":\"live\"}]}";

    private Vertx mVertx;

    @BeforeMethod
    public void startVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterMethod
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    @Test
    public void anEndpointThatSaysItLeavesGetsNoNewWorkWhileTheListStillCallsItLive()
            throws Exception {
        int engine = serve("{\"incarnation\":1,\"running\":2,\"queued\":0,\"leaving\":true}");
        EndpointStatus status = firstStatusWith(engine, EndpointCondition.LEAVING);
        assertThat(status.condition().isSelectable()).isFalse();
        assertThat(status.load().map(LoadReport::running)).contains(2L);
    }

    @Test
    public void anEndpointThatCannotBeReachedIsSuspect() throws Exception {
        int closed =
                await(mVertx.createNetServer().connectHandler(s -> {}).listen(0, "127.0.0.1"))
                        .actualPort();
        assertThat(firstStatusWith(closed, EndpointCondition.SUSPECT).isLive()).isFalse();
    }

    /** Guards against a load report that is an earlier one, which the endpoint sends again. */
    @Test
    public void eachPollHasAConnectionOfItsOwn() throws Exception {
        Promise<Void> polled = Promise.promise();
        String load = "{\"incarnation\":1,\"running\":2,\"queued\":0,\"leaving\":true}";
        RawServer engine =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            socket.write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + load.length()
                                            + "\r\n\r\n"
                                            + load);
                            if (request.connection() >= POLLS) {
                                polled.tryComplete();
                            }
                        });
        firstStatusWith(await(engine.listen()), EndpointCondition.LEAVING);
        await(polled.future());
        assertThat(engine.requests()).allMatch(request -> request.number() == 1);
    }

    /** Guards against an endpoint that is asked no more because it was silent for a while. */
    @Test
    public void anEndpointThatWasSilentForManyPollsIsAskedAgainAndRecovers() throws Exception {
        String load = "{\"incarnation\":1,\"running\":2,\"queued\":0,\"leaving\":true}";
        RawServer engine =
                new RawServer(
                        mVertx,
                        (request, socket) -> {
                            if (request.connection() > SILENT_POLLS) {
                                socket.write(
                                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                                + load.length()
                                                + "\r\n\r\n"
                                                + load);
                            }
                        });
        firstStatusWith(await(engine.listen()), EndpointCondition.LEAVING);
    }

    private EndpointStatus firstStatusWith(int enginePort, EndpointCondition condition)
            throws Exception {
        Promise<EndpointStatus> found = Promise.promise();
        Mailbox<WatchMessage> mailbox = new Mailbox<>();
        EndpointWatchTask task =
                new EndpointWatchTask(
                        settings(serve(LAGGING_LIST)),
                        mailbox,
                        view -> {
                            EndpointStatus status = view.of(ENGINE);
                            if (status.condition() == condition) {
                                found.tryComplete(status);
                            }
                        },
                        event -> {},
                        MillisecondClock.monotonic());
        mailbox.accept(new WatchMessage.ViewChanged(viewOf(enginePort)));
        await(mVertx.deployVerticle(task));
        return await(found.future());
    }

    private int serve(String body) throws Exception {
        return await(
                        mVertx.createHttpServer()
                                .requestHandler(request -> request.response().end(body))
                                .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private static ServingView viewOf(int enginePort) {
        String yaml =
                "versions: {v1: {model: m}}\nendpoints:\n  engine-1: {host: 127.0.0.1, port: "
                        + enginePort
                        + ", data_centre: a, pool: p, kind: engine, version: v1}\n";
        PublishedSet set =
                SetReader.readText("set.yaml", yaml)
                        .fold(
                                read -> read,
                                error -> {
                                    throw new AssertionError(error.detail());
                                });
        return new ServingView(new PublishedRevision(1, set, yaml), new AccessDecider(set), 0);
    }

    private static RouterSettings settings(int platformPort) {
        String yaml =
                "vm: entry-1\ndata_centre: a\nhttp: {host: 127.0.0.1, port: 0}\n"
                        + "control:\n  - {host: 127.0.0.1, port: 1}\n"
                        + "endpoint_credential: router-credential-0123456789\n"
                        + "platform: {host: 127.0.0.1, port: "
                        + platformPort
                        + "}\nbounds: {watch_milliseconds: 50, silence_milliseconds: 200}\n";
        return RouterSettingsReader.readText("router.yaml", yaml)
                .fold(
                        settings -> settings,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
}
