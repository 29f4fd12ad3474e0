package org.skylarkbend.gateway.call;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.Optional;
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
        /** Called when the status and headers of the response have arrived. */
        void head(Attempt attempt, HttpClientResponse response);

        /** Called for each chunk of the response body. */
        void piece(Attempt attempt, Buffer piece);

        /** Called when the response is complete. */
        void ended(Attempt attempt);

        /** Called when the attempt has ended without a complete response. */
        void broke(Attempt attempt, AttemptOutcome outcome, String cause);
    }

    private final EngineChoice mChoice;
    private final Endpoint mEndpoint;
    private final Listener mListener;
    private Optional<HttpClientRequest> mRequest = Optional.empty();
    private boolean mOver;
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

    /** Records that the engine has processed the prompt. Returns true on the first call only. */
    boolean notePromptRead() {
        boolean isNews = !mPromptRead;
        mPromptRead = true;
        return isNews;
    }

    void start(
            HttpClient client,
            CallRequest call,
            HeaderNames names,
            Urgency urgency,
            String cacheScope,
            Optional<String> lastEvent,
            long connectMilliseconds,
            long remainingMilliseconds) {
        RequestOptions options =
                new RequestOptions()
                        .setServer(
                                SocketAddress.inetSocketAddress(mEndpoint.port(), mEndpoint.host()))
                        .setHost(mEndpoint.host())
                        .setPort(mEndpoint.port())
                        .setMethod(call.method())
                        .setURI(call.uri())
                        .setConnectTimeout(connectMilliseconds);
        client.request(options)
                .onFailure(e -> broke(AttemptOutcome.NOT_CONNECTED, String.valueOf(e.getMessage())))
                .onSuccess(
                        request -> {
                            if (mOver) {
                                request.reset();
                                return;
                            }
                            mRequest = Optional.of(request);
                            request.headers().addAll(call.headers());
                            request.putHeader("Host", call.host());
                            request.putHeader(names.expectInstance(), mEndpoint.id());
                            request.putHeader(
                                    names.deadline(), Long.toString(remainingMilliseconds));
                            call.customer()
                                    .ifPresent(c -> request.putHeader(names.customer(), c.name()));
                            if (call.prompt().isPresent()) {
                                putEngineHeaders(request, names.engine(), urgency, cacheScope);
                            }
                            lastEvent.ifPresent(id -> request.putHeader(names.lastEvent(), id));
                            send(request, call.body());
                        });
    }

    /**
     * Sets the headers for engines. The version of the weights is part of the cache scope, so an
     * engine never uses cached prompt parts that were computed with other weights, whichever engine
     * they come from.
     */
    private void putEngineHeaders(
            HttpClientRequest request,
            HeaderNames.Engine names,
            Urgency urgency,
            String cacheScope) {
        request.putHeader(names.urgency(), urgency.header());
        if (mChoice.weights().isEmpty()) {
            request.putHeader(names.cacheScope(), cacheScope);
            return;
        }
        String version = Long.toString(mChoice.weights().getAsLong());
        request.putHeader(names.cacheScope(), cacheScope + "-" + version);
        request.putHeader(names.expectVersion(), version);
        mChoice.cacheSource().ifPresent(source -> request.putHeader(names.cacheSource(), source));
        mChoice.store().ifPresent(store -> request.putHeader(names.cacheStore(), store));
    }

    private void send(HttpClientRequest request, Buffer body) {
        mSent = true;
        request.response()
                .onSuccess(this::answered)
                .onFailure(e -> broke(AttemptOutcome.BROKEN, String.valueOf(e.getMessage())));
        if (body.length() > 0) {
            request.end(body);
        } else {
            request.end();
        }
    }

    /** Cancels the request, which closes the connection to the endpoint. */
    void stop() {
        if (!mOver) {
            mOver = true;
            mRequest.ifPresent(HttpClientRequest::reset);
        }
    }

    private void answered(HttpClientResponse response) {
        if (mOver) {
            return;
        }
        response.exceptionHandler(
                e -> broke(AttemptOutcome.BROKEN, String.valueOf(e.getMessage())));
        response.handler(
                piece -> {
                    if (!mOver) {
                        mListener.piece(this, piece);
                    }
                });
        response.endHandler(
                nothing -> {
                    if (!mOver) {
                        mOver = true;
                        mListener.ended(this);
                    }
                });
        mListener.head(this, response);
    }

    private void broke(AttemptOutcome outcome, String cause) {
        if (!mOver) {
            mOver = true;
            mRequest.ifPresent(HttpClientRequest::reset);
            mListener.broke(this, outcome, cause);
        }
    }
}
