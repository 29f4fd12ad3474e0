package org.skylarkbend.router.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.forwarding.ResponseHead;
import org.skylarkbend.router.HttpHeader;

/**
 * One HTTP request to an endpoint and its response, over one connection. Confined to the forwarding
 * task. The listener receives no events after the exchange was abandoned.
 */
final class EndpointExchange {
    private static final String ATTEMPT_HEADER = "X-Skylark-Attempt";
    private static final String NOT_RUN_HEADER = "X-Skylark-Not-Run";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);
    private static final List<String> FORWARDED_HEADERS =
            List.of("Content-Type", "ETag", "Location", "Last-Modified", "Cache-Control");

    private final MillisecondClock mClock;
    private final Consumer<ExchangeEvent> mListener;
    private HttpClientRequest mRequest;
    private HttpClientResponse mResponse;
    private long mLastByteMilliseconds;
    private boolean mAbandoned;
    private boolean mPaused;

    EndpointExchange(MillisecondClock clock, Consumer<ExchangeEvent> listener) {
        mClock = clock;
        mListener = listener;
        mLastByteMilliseconds = clock.nowMilliseconds();
    }

    void open(HttpClient client, EndpointRequest request, long connectTimeoutMilliseconds) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(request.endpoint().host())
                        .setPort(request.endpoint().port())
                        .setMethod(HttpMethod.valueOf(request.method()))
                        .setURI(request.uri())
                        .setConnectTimeout(connectTimeoutMilliseconds);
        request.headers().forEach(header -> options.addHeader(header.name(), header.value()));
        client.request(options)
                .onSuccess(connected -> send(connected, request.body()))
                .onFailure(e -> notifyListener(new ExchangeEvent.NotConnected(causeOf(e))));
    }

    /** Closes the connection. The listener receives no further events. */
    void abandon() {
        if (!mAbandoned) {
            mAbandoned = true;
            if (mRequest != null) {
                mRequest.reset();
            }
        }
    }

    void pause() {
        mPaused = true;
        if (mResponse != null) {
            mResponse.pause();
        }
    }

    void resumeReading() {
        mPaused = false;
        mLastByteMilliseconds = mClock.nowMilliseconds();
        if (mResponse != null) {
            mResponse.resume();
        }
    }

    /** Returns whether the endpoint has sent a response head on this connection. */
    boolean hasResponded() {
        return mResponse != null;
    }

    /** Returns the time since the last byte was received, or 0 while reading is paused. */
    long idleMilliseconds() {
        return mPaused ? 0 : mClock.nowMilliseconds() - mLastByteMilliseconds;
    }

    private void send(HttpClientRequest request, byte[] body) {
        mRequest = request;
        if (mAbandoned) {
            request.reset();
            return;
        }
        mLastByteMilliseconds = mClock.nowMilliseconds();
        notifyListener(new ExchangeEvent.Sending());
        request.send(Buffer.buffer(body))
                .onSuccess(this::handleHead)
                .onFailure(e -> notifyListener(new ExchangeEvent.Lost(causeOf(e))));
    }

    private void handleHead(HttpClientResponse response) {
        mResponse = response;
        mLastByteMilliseconds = mClock.nowMilliseconds();
        response.handler(
                chunk -> {
                    mLastByteMilliseconds = mClock.nowMilliseconds();
                    notifyListener(new ExchangeEvent.ChunkReceived(chunk.getBytes()));
                });
        response.endHandler(ignored -> notifyListener(new ExchangeEvent.Ended()));
        response.exceptionHandler(e -> notifyListener(new ExchangeEvent.Lost(causeOf(e))));
        if (mPaused) {
            response.pause();
        }
        notifyListener(headOf(response));
    }

    private void notifyListener(ExchangeEvent event) {
        if (!mAbandoned) {
            mListener.accept(event);
        }
    }

    private static ExchangeEvent.HeadReceived headOf(HttpClientResponse response) {
        MultiMap headers = response.headers();
        ResponseHead head =
                new ResponseHead(
                        response.statusCode(),
                        Optional.ofNullable(headers.get(ATTEMPT_HEADER)),
                        "true".equalsIgnoreCase(headers.get(NOT_RUN_HEADER)));
        String contentType = headers.get(HttpHeaders.CONTENT_TYPE);
        boolean isEventStream = contentType != null && contentType.startsWith(EVENT_STREAM);
        boolean isFramed =
                headers.contains(HttpHeaders.CONTENT_LENGTH)
                        || headers.contains(HttpHeaders.TRANSFER_ENCODING)
                        || STATUSES_WITHOUT_BODY.contains(response.statusCode());
        return new ExchangeEvent.HeadReceived(
                head, isEventStream, isFramed, forwardedHeaders(headers));
    }

    private static List<HttpHeader> forwardedHeaders(MultiMap headers) {
        List<HttpHeader> forwarded = new ArrayList<>();
        for (String name : FORWARDED_HEADERS) {
            headers.getAll(name).forEach(value -> forwarded.add(new HttpHeader(name, value)));
        }
        return forwarded;
    }

    private static String causeOf(Throwable e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }
}
