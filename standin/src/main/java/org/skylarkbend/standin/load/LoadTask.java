package org.skylarkbend.standin.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.LongSupplier;

/** Sends pairs of requests, one directly and then one through the router, without overlap. */
public final class LoadTask extends VerticleBase {
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
    private static final String PROMPT_SENTENCE = "The core shall be wound at an even tension. ";

    private final LoadPlan mPlan;
    private final LongSupplier mNanosecondClock;
    private final LatencyReport mReport = new LatencyReport();
    private final Promise<LatencyReport> mReportPromise = Promise.promise();
    private HttpClient mClient;
    private int mSentPairs;

    /**
     * Creates a task for one run.
     *
     * @param plan the settings of the run
     * @param nanosecondClock a monotonic clock in nanoseconds
     */
    public LoadTask(LoadPlan plan, LongSupplier nanosecondClock) {
        mPlan = plan;
        mNanosecondClock = nanosecondClock;
    }

    @Override
    public Future<?> start() {
        mClient = vertx.createHttpClient();
        sendPair();
        return Future.succeededFuture();
    }

    /**
     * Returns a future for the report. It completes after the last response and fails if a request
     * fails.
     */
    public Future<LatencyReport> completion() {
        return mReportPromise.future();
    }

    private void sendPair() {
        if (mSentPairs == mPlan.warmUpPairs() + mPlan.pairs()) {
            mReportPromise.complete(mReport);
            return;
        }
        mSentPairs++;
        measure(mPlan.directUrl(), mPlan.directCredential())
                .compose(direct -> measure(mPlan.routerUrl(), mPlan.key()).map(direct::pairWith))
                .onSuccess(
                        pair -> {
                            if (mSentPairs > mPlan.warmUpPairs()) {
                                mReport.add(pair);
                            }
                            sendPair();
                        })
                .onFailure(mReportPromise::fail);
    }

    private Future<Timing> measure(String url, String bearerToken) {
        long startNanoseconds = mNanosecondClock.getAsLong();
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setAbsoluteURI(url + "/v1/chat/completions")
                        .putHeader("Content-Type", "application/json")
                        .putHeader("Authorization", "Bearer " + bearerToken);
        return mClient.request(options)
                .compose(request -> request.send(body()))
                .compose(response -> timeResponse(response, startNanoseconds));
    }

    private Future<Timing> timeResponse(HttpClientResponse response, long startNanoseconds) {
        if (response.statusCode() != 200) {
            return response.body()
                    .compose(
                            body ->
                                    Future.failedFuture(
                                            "unexpected status "
                                                    + response.statusCode()
                                                    + ": "
                                                    + body));
        }
        Promise<Timing> timing = Promise.promise();
        long[] firstMicroseconds = {-1};
        response.handler(
                chunk -> {
                    if (firstMicroseconds[0] < 0) {
                        firstMicroseconds[0] = microsecondsSince(startNanoseconds);
                    }
                });
        response.endHandler(
                ignored ->
                        timing.complete(
                                new Timing(
                                        firstMicroseconds[0],
                                        microsecondsSince(startNanoseconds))));
        response.exceptionHandler(timing::tryFail);
        return timing.future();
    }

    private long microsecondsSince(long startNanoseconds) {
        return (mNanosecondClock.getAsLong() - startNanoseconds) / NANOSECONDS_PER_MICROSECOND;
    }

    private Buffer body() {
        int sentences = mPlan.promptChars() / PROMPT_SENTENCE.length() + 1;
        JsonObject message =
                new JsonObject()
                        .put("role", "user")
                        .put("content", PROMPT_SENTENCE.repeat(sentences));
        return new JsonObject()
                .put("model", mPlan.route())
                .put("stream", true)
                .put("max_tokens", mPlan.answerTokens())
                .put("messages", new JsonArray().add(message))
                .toBuffer();
    }

    /** Closes the connections of the client. */
    @Override
    public Future<?> stop() {
        return mClient.close();
    }
}
