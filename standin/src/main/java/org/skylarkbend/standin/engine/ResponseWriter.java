package org.skylarkbend.standin.engine;

import io.opentelemetry.api.trace.Span;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.skylarkbend.standin.StandinServer;
import org.skylarkbend.standin.engine.EngineEffect.SendEnd;
import org.skylarkbend.standin.engine.EngineEffect.SendToken;

/** Writes one response to its connection, either as an event stream or as one body at the end. */
final class ResponseWriter {
    private static final String ATTEMPT_HEADER = "X-Skylark-Attempt";

    private final StandinServer mServer;
    private final HttpServerRequest mRequest;
    private final Span mSpan;
    private final String mEchoedAttempt;
    private final String mVersion;
    private final boolean mStreaming;
    private final StringBuilder mText = new StringBuilder();

    ResponseWriter(
            StandinServer server,
            HttpServerRequest request,
            Span span,
            String echoedAttempt,
            String version,
            boolean streaming) {
        mServer = server;
        mRequest = request;
        mSpan = span;
        mEchoedAttempt = echoedAttempt;
        mVersion = version;
        mStreaming = streaming;
    }

    void token(SendToken token) {
        if (mStreaming) {
            write(
                    EngineCodec.tokenEvent(
                            token.attempt(), mVersion, token.position(), token.text()));
        } else {
            mText.append(token.text());
        }
    }

    void end(SendEnd end) {
        mSpan.setAttribute("cached_tokens", end.cachedTokens());
        mSpan.end();
        if (mStreaming) {
            write(EngineCodec.endEvent(end));
            finish();
        } else {
            response();
            mServer.respond(mRequest, 200, EngineCodec.wholeResponse(end, mText.toString()));
        }
    }

    void fail(int httpStatus) {
        mSpan.end();
        response();
        JsonObject error = new JsonObject().put("message", "simulated engine failure");
        mServer.respond(mRequest, httpStatus, new JsonObject().put("error", error));
    }

    /** Sends status 200 with an empty body and closes the connection. */
    void empty() {
        mSpan.end();
        if (!isSilent()) {
            response().end().onComplete(done -> mRequest.connection().close());
        }
    }

    void drop() {
        mSpan.end();
        mRequest.connection().close();
    }

    private void write(String event) {
        if (!isSilent()) {
            HttpServerResponse response = response();
            if (!response.headWritten()) {
                response.setChunked(true).putHeader("Content-Type", "text/event-stream");
            }
            response.write(event);
        }
    }

    private void finish() {
        if (!isSilent()) {
            mRequest.response().end();
        }
    }

    private HttpServerResponse response() {
        HttpServerResponse response = mRequest.response();
        if (!response.headWritten()) {
            response.putHeader(ATTEMPT_HEADER, mEchoedAttempt);
        }
        return response;
    }

    private boolean isSilent() {
        return mServer.isSilent(mRequest.connection());
    }
}
