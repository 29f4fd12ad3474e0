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
 * One exchange of a call with an endpoint. It belongs to the task of the call, and tells its
 * listener nothing any more once it was stopped or has ended.
 */
final class Attempt {
    /** What happens in an attempt. At most one of {@code ended} and {@code broke} is called. */
    interface Listener {
        /** The head of an answer came. */
        void head(Attempt attempt, HttpClientResponse response);

        /** A piece of the body came. */
        void piece(Attempt attempt, Buffer piece);

        /** The answer is whole. */
        void ended(Attempt attempt);

        /** There will be no whole answer. */
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

    /** The tokens that count as unread until the first event comes. */
    long tokensToRead() {
        return mChoice.tokensToRead();
    }

    /** Whether the call was handed to the connection. */
    boolean isSent() {
        return mSent;
    }

    /** Notes that the engine has read the prompt. Answers whether that is news. */
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
     * Cached parts are made and found under the version that the engine must have to run the call,
     * so that parts of other weights are never used, whatever engine they come from.
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

    /** Ends the exchange; the endpoint sees its connection close. */
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
