package org.skylarkbend.router.front;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.router.RouterBounds;
import org.skylarkbend.router.forward.AnswerMessage;

/** One HTTP request of a caller and its response. */
final class CallerExchange {
    private final Vertx mVertx;
    private final HttpServerRequest mRequest;
    private final RouterBounds mBounds;
    private final Span mSpan;
    private final Buffer mBody = Buffer.buffer();
    private Consumer<Buffer> mOnWhole = body -> {};
    private Consumer<SkylarkError> mOnRefused = error -> {};
    private Consumer<Boolean> mOnPause = paused -> {};
    private Runnable mOnOver = () -> {};
    private long mReadTimerId;
    private long mStallTimerId;
    private boolean mReading = true;
    private boolean mOver;
    private boolean mClosing;

    CallerExchange(Vertx vertx, HttpServerRequest request, RouterBounds bounds, Span span) {
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
    void onOver(Runnable handler) {
        mOnOver = handler;
    }

    /**
     * Sets the handler that is called with true when the write queue of the caller's connection is
     * full, and with false when it has drained.
     */
    void onPause(Consumer<Boolean> handler) {
        mOnPause = handler;
    }

    /** Closes the connection after the response. */
    void closeAfterAnswer() {
        mClosing = true;
    }

    /** Reads the body, subject to the size limit and the read timeout. */
    void read(Consumer<Buffer> onWhole, Consumer<SkylarkError> onRefused) {
        mOnWhole = onWhole;
        mOnRefused = onRefused;
        mRequest.response().closeHandler(nothing -> over());
        mRequest.response().exceptionHandler(e -> over());
        mRequest.exceptionHandler(e -> over());
        mReadTimerId = mVertx.setTimer(mBounds.requestReadMilliseconds(), id -> closeHalfSent());
        mRequest.handler(this::takeChunk);
        mRequest.endHandler(nothing -> bodyEnded());
    }

    private void takeChunk(Buffer chunk) {
        if (!mReading) {
            return;
        }
        mBody.appendBuffer(chunk);
        if (mBody.length() > mBounds.maxBodyBytes()) {
            mReading = false;
            mOnRefused.accept(RequestRefusals.bodyTooLarge(mBounds.maxBodyBytes()));
        }
    }

    private void bodyEnded() {
        mVertx.cancelTimer(mReadTimerId);
        if (mReading) {
            mReading = false;
            mOnWhole.accept(mBody);
        }
    }

    private void closeHalfSent() {
        boolean unanswered = mReading;
        mReading = false;
        if (unanswered) {
            closeAfterAnswer();
            mOnRefused.accept(RequestRefusals.halfSent());
        } else {
            mRequest.connection().close();
        }
    }

    /** Sends a complete response. */
    void answer(AnswerMessage.Whole whole) {
        HttpServerResponse response = head(whole.status());
        whole.headers().forEach(header -> response.putHeader(header.name(), header.value()));
        end(response, Buffer.buffer(whole.body()));
    }

    /** Sends a text response. */
    void answer(int status, String contentType, String text) {
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
            response.drainHandler(nothing -> drained());
        }
    }

    private void drained() {
        mVertx.cancelTimer(mStallTimerId);
        mOnPause.accept(false);
    }

    /** Ends a streamed response. */
    void complete(byte[] endMark) {
        end(mRequest.response(), Buffer.buffer(endMark));
    }

    /** Sends an error response, or ends an already started stream with an error event. */
    void fail(SkylarkError error, long retryAfterMilliseconds) {
        mSpan.setStatus(StatusCode.ERROR, error.kind().code());
        HttpServerResponse response = mRequest.response();
        if (response.headWritten()) {
            end(response, Buffer.buffer(ErrorAnswerCodec.encodeAsEvent(error)));
            return;
        }
        head(error.kind().httpStatus()).putHeader("Content-Type", "application/json");
        if (error.kind().retryable()) {
            String seconds = ErrorAnswerCodec.retryAfterSeconds(retryAfterMilliseconds);
            response.putHeader("Retry-After", seconds);
        }
        end(response, Buffer.buffer(ErrorAnswerCodec.encode(error)));
    }

    private HttpServerResponse head(int status) {
        HttpServerResponse response = mRequest.response().setStatusCode(status);
        if (mClosing) {
            response.putHeader("Connection", "close");
        }
        return response;
    }

    private void end(HttpServerResponse response, Buffer last) {
        if (mOver || response.ended()) {
            return;
        }
        mSpan.setAttribute("status", response.getStatusCode());
        response.end(last).onComplete(result -> ended());
    }

    private void ended() {
        over();
        if (mClosing && !mRequest.isEnded()) {
            mRequest.connection().close();
        }
    }

    private void over() {
        if (!mOver) {
            mOver = true;
            mVertx.cancelTimer(mStallTimerId);
            mSpan.end();
            mOnOver.run();
        }
    }
}
