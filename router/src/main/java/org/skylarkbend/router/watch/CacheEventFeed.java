package org.skylarkbend.router.watch;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.publishing.Endpoint;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.SseParser;

/**
 * Subscribes to the prefix cache events of one engine. When the connection ends or stays idle for
 * too long, it reconnects and requests the events after the last one received.
 */
final class CacheEventFeed {
    private static final int STATUS_OK = 200;
    private static final int MAX_EVENT_BYTES = 1024 * 1024;
    private static final long RECONNECT_DELAY_MILLISECONDS = 1_000;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 10_000;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final Endpoint mEndpoint;
    private final Consumer<CacheEvent> mEvents;
    private SseParser mParser = new SseParser(MAX_EVENT_BYTES);
    private HttpClientRequest mRequest;
    private long mLastSequence;
    private long mLastIncarnation;
    private long mIdleTimerId;
    private boolean mStopped;

    CacheEventFeed(Vertx vertx, HttpClient client, Endpoint endpoint, Consumer<CacheEvent> events) {
        mVertx = vertx;
        mClient = client;
        mEndpoint = endpoint;
        mEvents = events;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    void open() {
        if (mStopped) {
            return;
        }
        mParser = new SseParser(MAX_EVENT_BYTES);
        String uri = "/events?after=" + mLastSequence;
        mClient.request(HttpMethod.GET, mEndpoint.port(), mEndpoint.host(), uri)
                .onSuccess(this::send)
                .onFailure(e -> scheduleReconnect());
    }

    void stop() {
        mStopped = true;
        mVertx.cancelTimer(mIdleTimerId);
        if (mRequest != null) {
            mRequest.reset();
        }
    }

    private void send(HttpClientRequest request) {
        mRequest = request;
        if (mStopped) {
            request.reset();
            return;
        }
        restartIdleTimer();
        request.send().onSuccess(this::handleHead).onFailure(e -> scheduleReconnect());
    }

    private void handleHead(HttpClientResponse response) {
        if (response.statusCode() != STATUS_OK) {
            mRequest.reset();
            scheduleReconnect();
            return;
        }
        response.handler(this::handleChunk);
        response.exceptionHandler(e -> scheduleReconnect());
        response.endHandler(ignored -> scheduleReconnect());
    }

    private void handleChunk(Buffer chunk) {
        restartIdleTimer();
        mParser.feed(chunk.getBytes()).match(this::handleAll, error -> mRequest.reset());
    }

    private void handleAll(List<SseEvent> events) {
        for (SseEvent event : events) {
            CacheEventCodec.decode(mEndpoint.name(), event.data()).ifPresent(this::handle);
        }
    }

    private void handle(CacheEvent event) {
        if (event.engine().number() != mLastIncarnation) {
            mLastIncarnation = event.engine().number();
            mLastSequence = 0;
        }
        mLastSequence = Math.max(mLastSequence, event.sequence());
        mEvents.accept(event);
    }

    private void restartIdleTimer() {
        mVertx.cancelTimer(mIdleTimerId);
        mIdleTimerId = mVertx.setTimer(IDLE_TIMEOUT_MILLISECONDS, id -> mRequest.reset());
    }

    private void scheduleReconnect() {
        mVertx.cancelTimer(mIdleTimerId);
        if (!mStopped) {
            mVertx.setTimer(RECONNECT_DELAY_MILLISECONDS, id -> open());
        }
    }
}
