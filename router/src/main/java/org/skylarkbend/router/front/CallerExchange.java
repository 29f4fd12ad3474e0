package org.skylarkbend.router.front;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.intake.BodyIntake;
import org.skylarkbend.intake.BodyLimits;
import org.skylarkbend.router.RouterBounds.CallerBounds;
import org.skylarkbend.router.forward.ResponseMessage;
import org.skylarkbend.wire.HeldBytes;
import org.skylarkbend.wire.RefusedBody;

/** One HTTP request of a caller and its response. */
final class CallerExchange {
    private final Vertx mVertx;
    private final HttpServerRequest mRequest;
    private final CallerBounds mBounds;
    private final Span mSpan;
    private Optional<HeldBytes> mBody = Optional.empty();
    private Consumer<Boolean> mOnPause = paused -> {};
    private Runnable mOnEnd = () -> {};
    private long mStallTimerId;
    private boolean mEnded;
    private boolean mCloseAfterResponse;

    CallerExchange(Vertx vertx, HttpServerRequest request, CallerBounds bounds, Span span) {
        mVertx = vertx;
        mRequest = request;
        mBounds = bounds;
        mSpan = span;
    }

    HttpServerRequest request() {
        return mRequest;
    }

    Span span() {
        return mSpan;
    }

    /** Sets the handler that is called once, when the response has ended or the caller has left. */
    void onEnd(Runnable handler) {
        mOnEnd = handler;
    }

    /**
     * Sets the handler that is called with true when the write queue of the caller's connection is
     * full, and with false when it has drained.
     */
    void onPause(Consumer<Boolean> handler) {
        mOnPause = handler;
    }

    /** Closes the connection after the response. */
    void closeAfterResponse() {
        mCloseAfterResponse = true;
    }

    /**
     * Reads the body.
     *
     * @param intake reads it
     * @param limits limits on it
     * @param onBody receives it when it is complete
     * @param onRefused receives the reason if it is not read
     */
    void read(
            BodyIntake intake,
            BodyLimits limits,
            Consumer<Buffer> onBody,
            Consumer<SkylarkError> onRefused) {
        mRequest.response().closeHandler(ignored -> finish());
        mRequest.response().exceptionHandler(e -> finish());
        intake.read(
                mSpan.getSpanContext().getTraceId(),
                mRequest,
                limits,
                new BodyIntake.Listener() {
                    @Override
                    public void complete(HeldBytes body) {
                        mBody = Optional.of(body);
                        onBody.accept(body.content());
                    }

                    @Override
                    public void refused(SkylarkError error) {
                        RefusedBody.closeConnection(mVertx, mRequest);
                        onRefused.accept(error);
                    }
                });
    }

    /** Sends a complete response. */
    void respond(ResponseMessage.Full full) {
        HttpServerResponse response = head(full.status());
        full.headers().forEach(header -> response.putHeader(header.name(), header.value()));
        end(response, Buffer.buffer(full.body()));
    }

    /** Sends a text response. */
    void respond(int status, String contentType, String text) {
        HttpServerResponse response = head(status).putHeader("Content-Type", contentType);
        end(response, Buffer.buffer(text));
    }

    /** Sends one event. The first one starts the streamed response. */
    void event(byte[] event) {
        HttpServerResponse response = mRequest.response();
        if (!response.headWritten()) {
            head(200)
                    .setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("Cache-Control", "no-cache");
        }
        response.write(Buffer.buffer(event));
        if (response.writeQueueFull()) {
            mOnPause.accept(true);
            mStallTimerId =
                    mVertx.setTimer(
                            mBounds.idleConnectionMilliseconds(),
                            id -> mRequest.connection().close());
            response.drainHandler(ignored -> drained());
        }
    }

    private void drained() {
        mVertx.cancelTimer(mStallTimerId);
        mOnPause.accept(false);
    }

    /** Ends a streamed response. */
    void complete(byte[] endMarker) {
        end(mRequest.response(), Buffer.buffer(endMarker));
    }

    /** Sends an error response, or ends an already started stream with an error event. */
    void fail(SkylarkError error, long retryAfterMilliseconds) {
        mSpan.setStatus(StatusCode.ERROR, error.kind().code());
        HttpServerResponse response = mRequest.response();
        if (response.headWritten()) {
            end(response, Buffer.buffer(ErrorResponseCodec.encodeAsEvent(error)));
            return;
        }
        head(error.kind().httpStatus()).putHeader("Content-Type", "application/json");
        if (error.kind().retryable()) {
            String seconds = ErrorResponseCodec.retryAfterSeconds(retryAfterMilliseconds);
            response.putHeader("Retry-After", seconds);
        }
        end(response, Buffer.buffer(ErrorResponseCodec.encode(error)));
    }

    private HttpServerResponse head(int status) {
        HttpServerResponse response = mRequest.response().setStatusCode(status);
        if (mCloseAfterResponse) {
            response.putHeader("Connection", "close");
        }
        return response;
    }

    private void end(HttpServerResponse response, Buffer last) {
        if (mEnded || response.ended()) {
            return;
        }
        mSpan.setAttribute("status", response.getStatusCode());
        response.end(last).onComplete(result -> ended());
    }

    private void ended() {
        finish();
        if (mCloseAfterResponse && !mRequest.isEnded()) {
            mRequest.connection().close();
        }
    }

    private void finish() {
        if (!mEnded) {
            mEnded = true;
            mBody.ifPresent(HeldBytes::release);
            mVertx.cancelTimer(mStallTimerId);
            mSpan.end();
            mOnEnd.run();
        }
    }
}
