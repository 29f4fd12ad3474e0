package org.skylarkbend.gateway.call;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.Exchange;
import org.skylarkbend.exchange.ExchangeEvent;
import org.skylarkbend.exchange.ExchangeRequest;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.intake.CallBoundary;

/**
 * Single HTTP request of a call to one endpoint. It is confined to the task that serves the calls.
 * The listener is not notified after the attempt was stopped or has ended.
 */
final class Attempt {
    /**
     * Receives the progress of an attempt. At most one of {@code ended} and {@code aborted} is
     * called.
     */
    interface Listener {
        /** Returns whether the call is still to be sent, now that there is a connection for it. */
        boolean isStillWanted(Attempt attempt);

        /** Called when the request was written to the connection completely. */
        void bodySent(Attempt attempt);

        /** Called when the status and headers of the response have arrived. */
        void headReceived(Attempt attempt, ResponseStart response);

        /** Called for each chunk of the response body. */
        void chunk(Attempt attempt, Buffer chunk);

        /** Called when the response is complete. */
        void ended(Attempt attempt);

        /** Called when the attempt has failed. */
        void aborted(Attempt attempt, AttemptOutcome outcome, String cause);
    }

    private final EngineChoice mChoice;
    private final Endpoint mEndpoint;
    private final Listener mListener;
    private final CallBoundary mBoundary;
    private Optional<Exchange> mExchange = Optional.empty();
    private boolean mEnded;
    private boolean mSent;
    private boolean mPromptRead;

    /**
     * Creates an attempt that has not started.
     *
     * @param choice the endpoint
     * @param listener receives the progress
     * @param boundary boundary of the call
     */
    Attempt(EngineChoice choice, Listener listener, CallBoundary boundary) {
        mChoice = choice;
        mBoundary = boundary;
        mEndpoint = choice.endpoint();
        mListener = listener;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /**
     * Returns the number of prompt tokens that count as unprocessed until the first event arrives.
     */
    long tokensToRead() {
        return mChoice.tokensToRead();
    }

    /** Returns whether the request was written to the connection. */
    boolean isSent() {
        return mSent;
    }

    /** Returns whether the engine has processed the prompt, as its first event shows. */
    boolean isPromptRead() {
        return mPromptRead;
    }

    /** Records that the engine has processed the prompt. Returns true on the first call only. */
    boolean markPromptRead() {
        boolean isFirst = !mPromptRead;
        mPromptRead = true;
        return isFirst;
    }

    /**
     * What an attempt sends.
     *
     * @param call the call
     * @param body its body
     * @param urgency its urgency at the engine
     * @param cacheScope the scope of cached prompt parts that its customer may use
     * @param lastEventId the ID of the event after which a stream is to go on
     * @param remainingMilliseconds the time that the caller still waits
     */
    record Content(
            CallRequest call,
            Buffer body,
            Urgency urgency,
            String cacheScope,
            Optional<String> lastEventId,
            long remainingMilliseconds) {}

    void start(EndpointClient client, HeaderNames names, Content content) {
        if (!content.lastEventId().map(Attempt::isHeaderText).orElse(true)) {
            aborted(AttemptOutcome.WITHDRAWN, "the ID of the last event fits no header");
            return;
        }
        CallRequest call = content.call();
        Exchange exchange =
                new Exchange(
                        new ExchangeRequest(
                                SocketAddress.inetSocketAddress(mEndpoint.port(), mEndpoint.host()),
                                call.method(),
                                call.uri(),
                                headers(names, content),
                                content.body(),
                                start -> ResponseHead.isOfOtherCall(start, call, names)),
                        mBoundary.around(this::handle));
        mExchange = Optional.of(exchange);
        client.start(exchange);
    }

    /** Returns whether a text arrives as it is when it is sent in a header. */
    private static boolean isHeaderText(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c <= '~');
    }

    private MultiMap headers(HeaderNames names, Content content) {
        CallRequest call = content.call();
        MultiMap headers = HttpHeaders.headers().addAll(call.headers());
        headers.set("Host", call.host());
        headers.set(names.expectInstance(), mEndpoint.id());
        headers.set(names.deadline(), Long.toString(content.remainingMilliseconds()));
        call.customer().ifPresent(c -> headers.set(names.customer(), c.name()));
        if (mayUseCache(call)) {
            headers.set(names.engine().cacheScope(), cacheScope(content.cacheScope()));
        }
        if (call.prompt().isPresent()) {
            putEngineHeaders(headers, names.engine(), content);
        }
        content.lastEventId().ifPresent(id -> headers.set(names.lastEventId(), id));
        return headers;
    }

    private boolean mayUseCache(CallRequest call) {
        return call.route().carriesPrompt()
                || call.prompt().isPresent()
                || !mEndpoint.weights().isEmpty();
    }

    /**
     * Returns the scope within which the endpoint may reuse cached parts of prompts. It does not
     * depend on what the caller says about its prompt, so every call has the scope of its customer.
     * The version of the weights is part of it, so an engine never uses parts that were computed
     * with other weights, whichever engine they come from.
     */
    private String cacheScope(String ofCustomer) {
        if (mChoice.weights().isPresent()) {
            return ofCustomer + "-" + mChoice.weights().getAsLong();
        }
        Map<String, Long> weights = new TreeMap<>(mEndpoint.weights());
        return weights.isEmpty() ? ofCustomer : ofCustomer + "-" + weights;
    }

    private void putEngineHeaders(MultiMap headers, HeaderNames.Engine names, Content content) {
        headers.set(names.urgency(), content.urgency().header());
        if (mChoice.weights().isPresent()) {
            headers.set(names.expectVersion(), Long.toString(mChoice.weights().getAsLong()));
            mChoice.cacheSource().ifPresent(source -> headers.set(names.cacheSource(), source));
            mChoice.store().ifPresent(store -> headers.set(names.cacheStore(), store));
        }
    }

    /** Stops reading the response until {@link #resume}. */
    void pause() {
        mExchange.ifPresent(Exchange::pause);
    }

    /** Reads the response again. */
    void resume() {
        if (!mEnded) {
            mExchange.ifPresent(Exchange::resume);
        }
    }

    /** Cancels the request, which closes the connection to the endpoint. */
    void stop() {
        if (!mEnded) {
            mEnded = true;
            mExchange.ifPresent(Exchange::cancel);
        }
    }

    private void handle(ExchangeEvent event) {
        if (event instanceof ExchangeEvent.Sending) {
            startSending();
        } else if (event instanceof ExchangeEvent.Sent) {
            mListener.bodySent(this);
        } else if (event instanceof ExchangeEvent.HeadReceived head) {
            mListener.headReceived(this, head.start());
        } else if (event instanceof ExchangeEvent.ChunkReceived received) {
            mListener.chunk(this, received.chunk());
        } else if (event instanceof ExchangeEvent.Ended) {
            mEnded = true;
            mListener.ended(this);
        } else if (event instanceof ExchangeEvent.NotConnected failed) {
            aborted(AttemptOutcome.NOT_CONNECTED, failed.cause());
        } else if (event instanceof ExchangeEvent.Rejected rejected) {
            aborted(AttemptOutcome.WITHDRAWN, rejected.cause());
        } else if (event instanceof ExchangeEvent.Lost lost) {
            aborted(AttemptOutcome.BROKEN, lost.cause());
        }
    }

    private void startSending() {
        if (mListener.isStillWanted(this)) {
            mSent = true;
        } else {
            aborted(
                    AttemptOutcome.WITHDRAWN,
                    "the endpoint stopped accepting calls or no retry is left");
        }
    }

    private void aborted(AttemptOutcome outcome, String cause) {
        if (!mEnded) {
            mEnded = true;
            mExchange.ifPresent(Exchange::cancel);
            mListener.aborted(this, outcome, cause);
        }
    }
}
