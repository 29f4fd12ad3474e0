package org.skylarkbend.gateway.front;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.gateway.call.CallerResponse;
import org.skylarkbend.gateway.call.RetryAfterHeader;

/** HTTP response to a request of a caller. */
final class HttpCallerResponse implements CallerResponse {
    private final HttpServerRequest mRequest;
    private final BooleanSupplier mIsDraining;
    private boolean mBegun;

    /**
     * Creates a response that has not started.
     *
     * @param request request of the caller
     * @param isDraining returns true if the connection is to be closed after the response
     */
    HttpCallerResponse(HttpServerRequest request, BooleanSupplier isDraining) {
        mRequest = request;
        mIsDraining = isDraining;
    }

    @Override
    public Future<Void> complete(int httpStatus, MultiMap headers, Buffer body) {
        return isOpen()
                ? begin(httpStatus, headers).end(body).otherwiseEmpty()
                : Future.succeededFuture();
    }

    @Override
    public void beginStream(int httpStatus, MultiMap headers) {
        if (isOpen()) {
            begin(httpStatus, headers).setChunked(true);
        }
    }

    @Override
    public void events(Buffer events) {
        if (isOpen()) {
            mRequest.response().write(events);
        }
    }

    @Override
    public boolean isCongested() {
        return isOpen() && mRequest.response().writeQueueFull();
    }

    @Override
    public void onDrained(Runnable handler) {
        mRequest.response()
                .drainHandler(
                        ignored -> {
                            mRequest.response().drainHandler(null);
                            handler.run();
                        });
    }

    @Override
    public void endStream() {
        if (isOpen()) {
            mRequest.response().end();
        }
    }

    @Override
    public void abortStream() {
        mRequest.connection().close();
    }

    @Override
    public void failure(ErrorKind kind, String detail, long retryAfterMilliseconds) {
        if (!isOpen()) {
            return;
        }
        if (mBegun) {
            // The response of an endpoint could not be passed on; nothing of it may remain.
            mRequest.response().headers().clear();
        }
        HttpServerResponse response = begin(kind.httpStatus(), MultiMap.caseInsensitiveMultiMap());
        if (kind.retryable()) {
            response.putHeader(
                    RetryAfterHeader.NAME, RetryAfterHeader.format(retryAfterMilliseconds));
        }
        response.putHeader("Content-Type", "application/json");
        response.end(
                "{\"error\":\""
                        + kind.code()
                        + "\",\"run_state\":\""
                        + kind.runState().name().toLowerCase(Locale.ROOT)
                        + "\"}\n");
    }

    private boolean isOpen() {
        return !mRequest.response().ended() && !mRequest.response().closed();
    }

    private HttpServerResponse begin(int httpStatus, MultiMap headers) {
        mBegun = true;
        HttpServerResponse response = mRequest.response().setStatusCode(httpStatus);
        response.headers().addAll(CallHeadReader.forwardedResponseHeaders(headers));
        if (mIsDraining.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
        return response;
    }
}
