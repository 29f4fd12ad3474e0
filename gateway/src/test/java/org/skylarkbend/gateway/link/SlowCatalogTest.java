package org.skylarkbend.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;

import com.codahale.metrics.Counter;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how a gateway reads the catalogs that control sends, on its only event loop. */
public class SlowCatalogTest {
    private static final String HOST = "127.0.0.1";
    private static final long LEASE_MILLISECONDS = 60_000;

    private CompletableFuture<Void> mReading;
    private CompletableFuture<Void> mMayGoOn;
    private Promise<Catalog> mCatalog;
    private Vertx mControl;
    private Vertx mVertx;

    @BeforeMethod
    public void start() {
        mReading = new CompletableFuture<>();
        mMayGoOn = new CompletableFuture<>();
        mCatalog = Promise.promise();
        mControl = Vertx.vertx();
        mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mMayGoOn.complete(null);
        await(mVertx.close());
        await(mControl.close());
    }

    /** Guards against calls that wait until a changed catalog has been read. */
    @Test
    public void theEventLoopGoesOnWhileACatalogIsRead() throws Exception {
        connect(slowReader());
        await(Future.fromCompletionStage(mReading));
        Promise<Void> other = Promise.promise();
        mVertx.runOnContext(ignored -> other.complete());
        await(other.future());
        assertThat(mCatalog.future().isComplete()).isFalse();
        mMayGoOn.complete(null);
        assertThat(await(mCatalog.future()).number()).isEqualTo(1);
    }

    /**
     * Guards against a gateway without a catalog after an upgrade to a version that accepts less
     * from operators.
     */
    @Test
    public void aCatalogThatCouldNotBePublishedAnyMoreIsStillRead() throws Exception {
        connect(new StricterReader());
        assertThat(await(mCatalog.future()).number()).isEqualTo(1);
    }

    private void connect(CatalogReader reader) throws Exception {
        FrameListener<FeedMessage> control =
                new FrameListener<>(
                        mControl,
                        new FeedCodec(),
                        WireOptions.plain(),
                        MillisecondClock.monotonic());
        int port = await(control.listen(HOST, 0, SlowCatalogTest::publish));
        RouterHello hello = new RouterHello(ObjectName.of("front"), ObjectName.of("z"), 1);
        mVertx.deployVerticle(
                new SiteLinkTask(
                        new SiteLinkDecider(hello, List.of(HOST), port),
                        new CatalogListener(),
                        reader,
                        () ->
                                Future.succeededFuture(
                                        Result.failure(ErrorKind.CONNECTION_FAILED, "none")),
                        MillisecondClock.monotonic(),
                        new Counter()));
    }

    private CatalogReader slowReader() {
        return document -> {
            mReading.complete(null);
            mMayGoOn.join();
            return emptyCatalog();
        };
    }

    private static Result<Catalog> emptyCatalog() {
        return Result.success(
                new Catalog(1, List.of(), Map.of(), List.of(), CallerLimits.defaults()));
    }

    private static void publish(FrameConnection<FeedMessage> connection) {
        connection.onMessage(
                message -> {
                    if (message instanceof RouterHeartbeat heartbeat) {
                        connection.send(
                                new ServingLease(heartbeat.sequence(), 1, LEASE_MILLISECONDS));
                    } else if (message instanceof SetRequest) {
                        connection.send(new SetDocument(1, "document"));
                    }
                });
    }

    /** Reads published documents, and refuses to publish them again. */
    private static final class StricterReader implements CatalogReader {
        @Override
        public Result<Catalog> read(byte[] document) {
            return Result.failure(ErrorKind.SET_INVALID, "no longer accepted");
        }

        @Override
        public Result<Catalog> readPublished(byte[] document) {
            return emptyCatalog();
        }
    }

    /** Keeps the catalog. */
    private final class CatalogListener extends IdleSiteListener {
        @Override
        public void catalogChanged(Catalog catalog) {
            mCatalog.complete(catalog);
        }
    }
}
