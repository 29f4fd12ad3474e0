package org.skylarkbend.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;
import static org.skylarkbend.testing.Waits.awaitUntil;

import com.codahale.metrics.Counter;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a gateway that reads the list of endpoints itself while control comes back. */
public class DirectListTest {
    private static final String HOST = "127.0.0.1";
    private static final long LEASE_MILLISECONDS = 60_000;
    private static final Endpoint FORMER = endpoint("former");
    private static final Endpoint NEWER = endpoint("newer");
    private static final Endpoints OF_CONTROL =
            new Endpoints(List.of(NEWER), Set.of(NEWER.incarnation()));
    private static final Endpoints NEXT_OF_CONTROL = new Endpoints(List.of(NEWER), Set.of());

    private final List<Endpoints> mInForce = new CopyOnWriteArrayList<>();
    private Promise<Result<List<Endpoint>>> mDirectList;
    private Promise<Void> mAsked;
    private volatile FrameConnection<FeedMessage> mConnection;
    private volatile boolean mConfirms;
    private volatile boolean mHasNoList;
    private Vertx mControl;
    private Vertx mVertx;

    @BeforeMethod
    public void start() throws Exception {
        mInForce.clear();
        mDirectList = Promise.promise();
        mAsked = Promise.promise();
        mConfirms = false;
        mHasNoList = false;
        mControl = Vertx.vertx();
        mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        FrameListener<FeedMessage> control =
                new FrameListener<>(
                        mControl,
                        new FeedCodec(),
                        WireOptions.plain(),
                        MillisecondClock.monotonic());
        int port = await(control.listen(HOST, 0, this::accepted));
        RouterHello hello = new RouterHello(ObjectName.of("front"), ObjectName.of("z"), 1);
        await(
                mVertx.deployVerticle(
                        new SiteLinkTask(
                                new SiteLinkDecider(hello, List.of(HOST), port),
                                new EndpointListener(),
                                document -> Result.failure(ErrorKind.SET_INVALID, "none"),
                                this::listDirectly,
                                MillisecondClock.monotonic(),
                                new Counter())));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        await(mVertx.close());
        await(mControl.close());
    }

    /** Guards against a newer list of control that a late response of the platform replaces. */
    @Test
    public void aListThatWasAskedForBeforeControlCameBackDoesNotReplaceTheOneOfControl()
            throws Exception {
        await(mAsked.future());
        mConfirms = true;
        awaitUntil(mVertx, () -> mInForce.contains(OF_CONTROL));
        Promise<Void> responded = Promise.promise();
        mVertx.runOnContext(
                ignored -> {
                    mDirectList.complete(Result.success(List.of(FORMER)));
                    responded.complete();
                });
        await(responded.future());
        mConnection.send(slice(new EndpointsChanged(2, OF_CONTROL.differenceTo(NEXT_OF_CONTROL))));
        awaitUntil(mVertx, () -> mInForce.contains(NEXT_OF_CONTROL));
        assertThat(mInForce).containsOnly(OF_CONTROL, NEXT_OF_CONTROL);
    }

    /** Guards against a gateway that starts under a leader which cannot read the list itself. */
    @Test
    public void aGatewayThatControlConfirmsButSendsNoListReadsItItself() throws Exception {
        mHasNoList = true;
        mConfirms = true;
        mDirectList.complete(Result.success(List.of(FORMER)));
        awaitUntil(mVertx, () -> !mInForce.isEmpty());
        assertThat(mInForce).containsOnly(new Endpoints(List.of(FORMER), Set.of()));
    }

    private Future<Result<List<Endpoint>>> listDirectly() {
        mAsked.tryComplete();
        return mDirectList.future();
    }

    /** Confirms nothing at first, and later sends the whole list with the first confirmation. */
    private void accepted(FrameConnection<FeedMessage> connection) {
        connection.onMessage(
                message -> {
                    if (message instanceof RouterHeartbeat heartbeat && mConfirms) {
                        if (mConnection != connection && !mHasNoList) {
                            mConnection = connection;
                            connection.send(slice(new EndpointsListed(1, OF_CONTROL)));
                        }
                        connection.send(
                                new ServingLease(heartbeat.sequence(), 0, LEASE_MILLISECONDS));
                    }
                });
    }

    private static SliceMessage slice(SiteMessage message) {
        return new SliceMessage(
                message.getClass().getSimpleName(), new SiteCodec().encode(message));
    }

    private static Endpoint endpoint(String id) {
        return new Endpoint(id, "replica", HOST, 1, "z", "v1", 1, false, 0, Map.of());
    }

    /** Keeps the lists that were in force. */
    private final class EndpointListener extends IdleSiteListener {
        @Override
        public void endpointsChanged(Endpoints endpoints) {
            mInForce.add(endpoints);
        }
    }
}
