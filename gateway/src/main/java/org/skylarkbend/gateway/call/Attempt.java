package org.skylarkbend.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.gateway.endpoints.EngineChoice;

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
        void headReceived(Attempt attempt, HttpClientResponse response);

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
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private Optional<HttpClientResponse> mResponse = Optional.empty();
    private boolean mEnded;
    private boolean mSent;
    private boolean mPromptRead;

    Attempt(EngineChoice choice, Listener listener) {
        mChoice = choice;
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
     * @param lastEventId the ID of the event after which a stream is to go on
     * @param connectMilliseconds the timeout for opening a connection
     * @param remainingMilliseconds the time that the caller still waits
     */
    record Content(
            CallRequest call,
            Buffer body,
            Urgency urgency,
            Optional<String> lastEventId,
            long connectMilliseconds,
            long remainingMilliseconds) {}

    void start(HttpClient client, HeaderNames names, Content content) {
        CallRequest call = content.call();
        RequestOptions options =
                new RequestOptions()
                        .setServer(
                                SocketAddress.inetSocketAddress(mEndpoint.port(), mEndpoint.host()))
                        .setHost(mEndpoint.host())
                        .setPort(mEndpoint.port())
                        .setMethod(call.method())
                        .setURI(call.uri())
                        .setConnectTimeout(content.connectMilliseconds());
        client.request(options)
                .onFailure(
                        e -> aborted(AttemptOutcome.NOT_CONNECTED, String.valueOf(e.getMessage())))
                .onSuccess(
                        request -> {
                            if (mEnded) {
                                request.reset();
                                return;
                            }
                            mRequest = Optional.of(request);
                            if (!mListener.isStillWanted(this)) {
                                aborted(
                                        AttemptOutcome.WITHDRAWN,
                                        "the endpoint stopped accepting calls");
                                return;
                            }
                            putHeaders(request, names, content);
                            send(request, content.body());
                        });
    }

    private void putHeaders(HttpClientRequest request, HeaderNames names, Content content) {
        CallRequest call = content.call();
        request.headers().addAll(call.headers());
        request.putHeader("Host", call.host());
        request.putHeader(names.expectInstance(), mEndpoint.id());
        request.putHeader(names.deadline(), Long.toString(content.remainingMilliseconds()));
        call.customer().ifPresent(c -> request.putHeader(names.customer(), c.name()));
        if (mayUseCache(call)) {
            request.putHeader(names.engine().cacheScope(), cacheScope(call));
        }
        if (call.prompt().isPresent()) {
            putEngineHeaders(request, names.engine(), content);
        }
        content.lastEventId().ifPresent(id -> request.putHeader(names.lastEventId(), id));
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
    private String cacheScope(CallRequest call) {
        if (mChoice.weights().isPresent()) {
            return call.cacheScope() + "-" + mChoice.weights().getAsLong();
        }
        Map<String, Long> weights = new TreeMap<>(mEndpoint.weights());
        return weights.isEmpty() ? call.cacheScope() : call.cacheScope() + "-" + weights;
    }

    private void putEngineHeaders(
            HttpClientRequest request, HeaderNames.Engine names, Content content) {
        request.putHeader(names.urgency(), content.urgency().header());
        if (mChoice.weights().isPresent()) {
            request.putHeader(names.expectVersion(), Long.toString(mChoice.weights().getAsLong()));
            mChoice.cacheSource()
                    .ifPresent(source -> request.putHeader(names.cacheSource(), source));
            mChoice.store().ifPresent(store -> request.putHeader(names.cacheStore(), store));
        }
    }

    private void send(HttpClientRequest request, Buffer body) {
        mSent = true;
        request.response()
                .onSuccess(this::receive)
                .onFailure(e -> aborted(AttemptOutcome.BROKEN, String.valueOf(e.getMessage())));
        Future<Void> written = body.length() > 0 ? request.end(body) : request.end();
        written.onSuccess(
                ignored -> {
                    if (!mEnded) {
                        mListener.bodySent(this);
                    }
                });
    }

    /** Stops reading the response until {@link #resume}. */
    void pause() {
        mResponse.ifPresent(HttpClientResponse::pause);
    }

    /** Reads the response again. */
    void resume() {
        if (!mEnded) {
            mResponse.ifPresent(HttpClientResponse::resume);
        }
    }

    /** Cancels the request, which closes the connection to the endpoint. */
    void stop() {
        if (!mEnded) {
            mEnded = true;
            mRequest.ifPresent(HttpClientRequest::reset);
        }
    }

    private void receive(HttpClientResponse response) {
        if (mEnded) {
            return;
        }
        response.exceptionHandler(
                e -> aborted(AttemptOutcome.BROKEN, String.valueOf(e.getMessage())));
        response.handler(
                chunk -> {
                    if (!mEnded) {
                        mListener.chunk(this, chunk);
                    }
                });
        response.endHandler(
                ignored -> {
                    if (!mEnded) {
                        mEnded = true;
                        mListener.ended(this);
                    }
                });
        mResponse = Optional.of(response);
        mListener.headReceived(this, response);
    }

    private void aborted(AttemptOutcome outcome, String cause) {
        if (!mEnded) {
            mEnded = true;
            mRequest.ifPresent(HttpClientRequest::reset);
            mListener.aborted(this, outcome, cause);
        }
    }
}
