package org.skylarkbend.standin.pressure;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetClient;
import java.net.URI;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Drives a front with callers of several kinds at the same time. */
public final class PressureTask extends VerticleBase {
    /** Pause of a caller after each request, as between the requests of a person's program. */
    private static final long PAUSE_MILLISECONDS = 20;

    /** Interval at which a slow reader reads the next chunk of its response. */
    private static final long SLOW_READ_MILLISECONDS = 1_000;

    private static final int SMALL_BYTES = 100;
    private static final String SMALL = "small";
    private static final String LONG = "long";
    private static final String SLOW = "slow";

    private final PressurePlan mPlan;
    private final PressureReport mReport = new PressureReport();
    private final Promise<PressureReport> mDone = Promise.promise();
    private HttpClient mClient;

    /** Kept for the run, as Vert.x shuts down clients that are no longer referenced. */
    private NetClient mIdleClient;

    private boolean mEnded;

    /** Creates a task for one run. */
    public PressureTask(PressurePlan plan) {
        mPlan = plan;
    }

    @Override
    public Future<?> start() {
        int callers = mPlan.smallCallers() + mPlan.longCallers() + mPlan.slowReaders();
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions(),
                        new PoolOptions().setHttp1MaxSize(Math.max(1, callers)));
        openIdleConnections();
        repeat(mPlan.smallCallers(), SMALL, body(SMALL_BYTES));
        repeat(mPlan.longCallers(), LONG, body(mPlan.longBytes()));
        repeat(mPlan.slowReaders(), SLOW, body(SMALL_BYTES));
        vertx.timer(mPlan.seconds(), TimeUnit.SECONDS)
                .onSuccess(
                        id -> {
                            mEnded = true;
                            mDone.complete(mReport);
                        });
        return Future.succeededFuture();
    }

    /** Returns a future for the report, which completes at the end of the run. */
    public Future<PressureReport> completion() {
        return mDone.future();
    }

    private void openIdleConnections() {
        URI target = URI.create(mPlan.url());
        mIdleClient = vertx.createNetClient();
        for (int i = 0; i < mPlan.idleConnections(); i++) {
            mIdleClient
                    .connect(target.getPort(), target.getHost())
                    .onSuccess(socket -> mReport.answered("idle", 0))
                    .onFailure(e -> mReport.failed("idle"));
        }
    }

    private void repeat(int callers, String kind, Buffer body) {
        for (int i = 0; i < callers; i++) {
            next(kind, body);
        }
    }

    private void next(String kind, Buffer body) {
        if (mEnded) {
            return;
        }
        mClient.request(options())
                .compose(request -> request.send(body))
                .compose(response -> read(kind, response))
                .onComplete(
                        done -> {
                            if (done.succeeded()) {
                                mReport.answered(kind, done.result());
                            } else {
                                mReport.failed(kind);
                            }
                            vertx.setTimer(PAUSE_MILLISECONDS, id -> next(kind, body));
                        });
    }

    private RequestOptions options() {
        RequestOptions options =
                new RequestOptions().setMethod(HttpMethod.POST).setAbsoluteURI(mPlan.url());
        mPlan.headers().forEach(options::putHeader);
        if (!mPlan.idHeader().isEmpty()) {
            options.putHeader(mPlan.idHeader(), UUID.randomUUID().toString());
        }
        return options;
    }

    private Future<Integer> read(String kind, HttpClientResponse response) {
        Promise<Integer> complete = Promise.promise();
        boolean isSlow = kind.equals(SLOW);
        long timer =
                isSlow ? vertx.setPeriodic(SLOW_READ_MILLISECONDS, id -> response.fetch(1)) : -1;
        response.handler(chunk -> {});
        response.exceptionHandler(complete::tryFail);
        response.endHandler(ignored -> complete.tryComplete(response.statusCode()));
        if (isSlow) {
            response.pause();
        }
        return complete.future().onComplete(done -> vertx.cancelTimer(timer));
    }

    private static Buffer body(int bytes) {
        return Buffer.buffer(new byte[bytes]);
    }
}
