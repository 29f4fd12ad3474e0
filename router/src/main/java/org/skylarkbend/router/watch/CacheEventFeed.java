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
import org.skylarkbend.router.SseCodec;
import org.skylarkbend.router.SseEvent;

/**
 * Subscribes to the prefix cache events of one engine. When the connection ends or stays idle for
 * too long, it reconnects and requests the events after the last one received.
 */
final class CacheEventFeed {
    private static final int STATUS_OK = 200;
    private static final int MAX_EVENT_BYTES = 1024 * 1024;
    private static final long RECONNECT_MILLISECONDS = 1_000;
    private static final long QUIET_MILLISECONDS = 10_000;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final Endpoint mEndpoint;
    private final Consumer<CacheEvent> mEvents;
    private SseCodec mCodec = new SseCodec(MAX_EVENT_BYTES);
    private HttpClientRequest mRequest;
    private long mLastSequence;
    private long mLastIncarnation;
    private long mQuietTimerId;
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
        mCodec = new SseCodec(MAX_EVENT_BYTES);
        String uri = "/events?after=" + mLastSequence;
        mClient.request(HttpMethod.GET, mEndpoint.port(), mEndpoint.host(), uri)
                .onSuccess(this::send)
                .onFailure(e -> openLater());
    }

    void stop() {
        mStopped = true;
        mVertx.cancelTimer(mQuietTimerId);
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
        awaitBytes();
        request.send().onSuccess(this::takeHead).onFailure(e -> openLater());
    }

    private void takeHead(HttpClientResponse response) {
        if (response.statusCode() != STATUS_OK) {
            mRequest.reset();
            openLater();
            return;
        }
        response.handler(this::takeChunk);
        response.exceptionHandler(e -> openLater());
        response.endHandler(nothing -> openLater());
    }

    private void takeChunk(Buffer chunk) {
        awaitBytes();
        mCodec.feed(chunk.getBytes()).match(this::takeAll, error -> mRequest.reset());
    }

    private void takeAll(List<SseEvent> events) {
        for (SseEvent event : events) {
            CacheEventCodec.decode(mEndpoint.name(), event.data()).ifPresent(this::take);
        }
    }

    private void take(CacheEvent event) {
        if (event.engine().number() != mLastIncarnation) {
            mLastIncarnation = event.engine().number();
            mLastSequence = 0;
        }
        mLastSequence = Math.max(mLastSequence, event.sequence());
        mEvents.accept(event);
    }

    private void awaitBytes() {
        mVertx.cancelTimer(mQuietTimerId);
        mQuietTimerId = mVertx.setTimer(QUIET_MILLISECONDS, id -> mRequest.reset());
    }

    private void openLater() {
        mVertx.cancelTimer(mQuietTimerId);
        if (!mStopped) {
            mVertx.setTimer(RECONNECT_MILLISECONDS, id -> open());
        }
    }
}
