package org.skylarkbend.router.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.HostAndPort;
import io.vertx.core.net.SocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.Exchange;
import org.skylarkbend.exchange.ExchangeEvent;
import org.skylarkbend.exchange.ExchangeRequest;
import org.skylarkbend.exchange.ResponseStart;

/**
 * One HTTP request to an endpoint and its response, and the time for which the endpoint has been
 * silent. Confined to the forwarding task. The listener receives no events after the exchange was
 * abandoned.
 */
final class EndpointExchange {
    private final MillisecondClock mClock;
    private final Consumer<ExchangeEvent> mListener;
    private final Exchange mExchange;
    private long mLastProgressMilliseconds;
    private boolean mResponded;
    private boolean mPaused;

    /**
     * Creates an exchange that has not begun.
     *
     * @param clock monotonic clock
     * @param request the request
     * @param isOtherResponse returns whether a response is known to answer another request; it is
     *     then skipped
     * @param listener called for each event
     */
    EndpointExchange(
            MillisecondClock clock,
            EndpointRequest request,
            Predicate<ResponseStart> isOtherResponse,
            Consumer<ExchangeEvent> listener) {
        mClock = clock;
        mListener = listener;
        mExchange = new Exchange(encode(request, isOtherResponse), this::handle);
        mLastProgressMilliseconds = clock.nowMilliseconds();
    }

    void open(EndpointClient client) {
        client.start(mExchange);
    }

    /** Closes the connection. The listener receives no further events. */
    void abandon() {
        mExchange.cancel();
    }

    void pause() {
        mPaused = true;
        mExchange.pause();
    }

    void resumeReading() {
        mPaused = false;
        progressed();
        mExchange.resume();
    }

    /** Records that the endpoint sent a part of the response that counts. */
    void progressed() {
        mLastProgressMilliseconds = mClock.nowMilliseconds();
    }

    /** Returns whether the endpoint has sent a response head on this connection. */
    boolean hasResponded() {
        return mResponded;
    }

    /**
     * Returns the time since the exchange made progress, or 0 while reading is paused. Bytes of the
     * body are none by themselves, since a stalled endpoint may go on sending comments.
     */
    long idleMilliseconds() {
        return mPaused ? 0 : mClock.nowMilliseconds() - mLastProgressMilliseconds;
    }

    private void handle(ExchangeEvent event) {
        boolean isBody = event instanceof ExchangeEvent.ChunkReceived;
        if (!isBody && !(event instanceof ExchangeEvent.Sent)) {
            progressed();
        }
        mResponded |= event instanceof ExchangeEvent.HeadReceived;
        mListener.accept(event);
    }

    private static ExchangeRequest encode(
            EndpointRequest request, Predicate<ResponseStart> isOtherResponse) {
        String host = request.endpoint().host();
        int port = request.endpoint().port();
        MultiMap headers = HttpHeaders.headers();
        headers.add(HttpHeaders.HOST, HostAndPort.create(host, port).toString());
        request.headers().forEach(header -> headers.add(header.name(), header.value()));
        return new ExchangeRequest(
                SocketAddress.inetSocketAddress(port, host),
                HttpMethod.valueOf(request.method()),
                request.uri(),
                headers,
                Buffer.buffer(request.body()),
                isOtherResponse);
    }
}
