package org.skylarkbend.standin.service;

import io.opentelemetry.api.trace.Span;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.StandinServer;
import org.skylarkbend.standin.service.ServiceEffect.CloseConnection;
import org.skylarkbend.standin.service.ServiceEffect.RespondNotRun;
import org.skylarkbend.standin.service.ServiceEffect.RespondRan;

/** The fake service: its HTTP server and its decider. */
public final class ServiceTask extends VerticleBase {
    private static final String ATTEMPT_HEADER = "X-Skylark-Attempt";
    private static final String NOT_RUN_HEADER = "X-Skylark-Not-Run";

    private final String mHost;
    private final int mRequestedPort;
    private final long mIncarnation;
    private final ServiceDecider mDecider;
    private final Tracing mTracing;
    private StandinServer mServer;
    private int mRunning;

    /** Creates a task for one service. Port 0 selects a free port. */
    public ServiceTask(
            String host, int port, long incarnation, ServiceDecider decider, Tracing tracing) {
        mHost = host;
        mRequestedPort = port;
        mIncarnation = incarnation;
        mDecider = decider;
        mTracing = tracing;
    }

    @Override
    public Future<?> start() {
        mServer = new StandinServer(vertx, mTracing);
        return mServer.listen("service", mHost, mRequestedPort, this::route);
    }

    @Override
    public Future<?> stop() {
        return mServer.close();
    }

    /** Returns the port that the server listens on. Valid only after the start. */
    public int port() {
        return mServer.port();
    }

    private void route(HttpServerRequest request, String body) {
        switch (request.path()) {
            case "/count" -> mServer.respond(request, 200, ServiceCodec.counts(mDecider));
            case "/load" -> mServer.respond(request, 200, load());
            case "/state" -> mServer.respond(request, 200, state());
            case "/received" -> request.response().end(mServer.received());
            case "/faults" -> changeFaults(request, new JsonObject(body));
            default -> call(request, ServiceCodec.call(request, body));
        }
    }

    private void call(HttpServerRequest request, ServiceCall call) {
        Span span = mServer.startSpan("service.call", request);
        mRunning++;
        request.response()
                .endHandler(ignored -> span.end())
                .closeHandler(
                        ignored -> {
                            mRunning--;
                            span.end();
                        });
        String attempt = request.getHeader(ATTEMPT_HEADER);
        if (attempt != null) {
            request.response().putHeader(ATTEMPT_HEADER, attempt);
        }
        if (mDecider.faults().leaving()) {
            request.response().putHeader(StandinServer.LEAVING_HEADER, "1");
        }
        execute(request, mDecider.decide(call));
    }

    private void execute(HttpServerRequest request, ServiceEffect effect) {
        if (effect instanceof RespondRan run) {
            respondAfterDelay(request, run);
        } else if (effect instanceof RespondNotRun) {
            request.response().putHeader(NOT_RUN_HEADER, "true");
            long retryAfterSeconds = mDecider.faults().retryAfterSeconds();
            if (retryAfterSeconds > 0) {
                request.response().putHeader("Retry-After", Long.toString(retryAfterSeconds));
            }
            mServer.respond(request, 503, new JsonObject().put("error", "the call was not run"));
        } else if (effect instanceof CloseConnection) {
            request.connection().close();
        }
    }

    private void respondAfterDelay(HttpServerRequest request, RespondRan run) {
        JsonObject body = ServiceCodec.runResponse(run);
        if (run.delayMilliseconds() <= 0) {
            mServer.respond(request, 200, body);
        } else {
            vertx.setTimer(run.delayMilliseconds(), id -> mServer.respond(request, 200, body));
        }
    }

    private void changeFaults(HttpServerRequest request, JsonObject body) {
        mDecider.changeFaults(ServiceCodec.faults(body));
        if (body.getBoolean("silent", false)) {
            mServer.silenceOthers(request.connection());
        }
        mServer.respond(request, 200, new JsonObject().put("faults", body));
    }

    private JsonObject load() {
        return new JsonObject()
                .put("incarnation", mIncarnation)
                .put("running", mRunning)
                .put("queued", 0)
                .put("queued_prompt_tokens", 0)
                .put("cached_blocks", 0)
                .put("versions", new JsonArray())
                .put("leaving", mDecider.faults().leaving());
    }

    private JsonObject state() {
        return new JsonObject()
                .put("incarnation", mIncarnation)
                .put("versions", new JsonArray())
                .put("active_version", "")
                .put("last_fencing_number", 0)
                .put("checks_fencing", false);
    }
}
