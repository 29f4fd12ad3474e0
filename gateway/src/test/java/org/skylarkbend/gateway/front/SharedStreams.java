package org.skylarkbend.gateway.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Streams that one endpoint begins and another one resumes. Both then go on with them, the first
 * one after the time that the call says. A stream goes on only when the other endpoint was asked
 * for it and the test has let it.
 */
final class SharedStreams {
    private static final long RESUMED_MILLISECONDS = 50;
    private static final long EVENT_MILLISECONDS = 100;

    private final Vertx mVertx;
    private final Promise<Void> mBeginning = Promise.promise();
    private final Promise<Void> mGoingOn = Promise.promise();
    private final Map<String, Promise<Void>> mAsked = new ConcurrentHashMap<>();

    SharedStreams(Vertx vertx) {
        mVertx = vertx;
    }

    /** Lets the streams begin. */
    void begin() {
        mBeginning.tryComplete();
    }

    /** Lets both endpoints go on. */
    void goOn() {
        mGoingOn.tryComplete();
    }

    /** Responds as the endpoint that begins a stream. */
    void first(HttpServerRequest request) {
        Context context = Vertx.currentContext();
        HttpServerResponse response = SilentEndpoints.head(request);
        long milliseconds = Long.parseLong(request.getHeader(SilentEndpoints.SILENCE_HEADER));
        mBeginning
                .future()
                .onSuccess(
                        begun ->
                                context.runOnContext(
                                        ignored -> response.write(SilentEndpoints.event(1))));
        Future.all(mGoingOn.future(), asked(request).future())
                .onSuccess(
                        both -> context.runOnContext(ignored -> sendRest(response, milliseconds)));
    }

    /** Responds as the endpoint that resumes a stream. */
    void second(HttpServerRequest request) {
        Context context = Vertx.currentContext();
        HttpServerResponse response = SilentEndpoints.head(request);
        asked(request).tryComplete();
        mGoingOn.future()
                .onSuccess(
                        both ->
                                context.runOnContext(
                                        ignored -> sendRest(response, RESUMED_MILLISECONDS)));
    }

    /** Sends the events after the first one, each after a time, unless the stream is stopped. */
    private void sendRest(HttpServerResponse response, long milliseconds) {
        mVertx.setTimer(
                milliseconds,
                id -> {
                    if (!response.closed()) {
                        response.write(SilentEndpoints.event(2));
                        mVertx.setTimer(EVENT_MILLISECONDS, last -> end(response));
                    }
                });
    }

    private static void end(HttpServerResponse response) {
        if (!response.closed()) {
            response.end(SilentEndpoints.events(SilentEndpoints.LAST_EVENT));
        }
    }

    private Promise<Void> asked(HttpServerRequest request) {
        return mAsked.computeIfAbsent(
                request.getHeader(SilentEndpoints.CALL_ID), id -> Promise.promise());
    }
}
