package org.skylarkbend.control.operator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.YearMonth;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.Utf8;
import org.skylarkbend.base.telemetry.PrometheusText;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.control.feed.FeedStatus;
import org.skylarkbend.control.log.ControlChange;
import org.skylarkbend.control.log.ControlChange.PublishingChanged;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.publishing.PublishId;
import org.skylarkbend.publishing.PublishingMessage.Publish;
import org.skylarkbend.publishing.PublishingState;
import org.skylarkbend.wire.RefusedBody;
import org.skylarkbend.wire.RequestDecoder;

/** Runs the HTTP server of the operator API. */
public final class OperatorTask extends VerticleBase {
    /** A client of the operators that gets no response for this time has given up. */
    public static final long IDLE_MILLISECONDS = 30_000;

    private static final StructuredLog LOG = StructuredLog.of(OperatorTask.class);
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private static final String RETRY_AFTER_SECONDS = "1";
    private static final String JSON = "application/json";
    private static final String BASE_REVISION_COMMENT = "# base_revision: ";

    /**
     * The settings and services used by the task.
     *
     * @param idleMilliseconds time after which a connection on which no response was sent is
     *     closed, whatever it sends
     */
    public record Parts(
            ControlSettings settings,
            int port,
            long idleMilliseconds,
            ControlLog log,
            Supplier<Future<FeedStatus>> feedStatus,
            MillisecondClock monotonic,
            MillisecondClock wall,
            MetricRegistry metrics,
            Tracing tracing) {}

    private final Parts mParts;
    private final OperatorCredentials mCredentials;
    private Context mContext;
    private OperatorService mService;
    private HttpServer mServer;

    /** Creates a task that starts listening when it is deployed. */
    public OperatorTask(Parts parts) {
        mParts = parts;
        mCredentials = new OperatorCredentials(parts.settings().operators());
    }

    @Override
    public Future<?> start() {
        mContext = context;
        PublishSpans spans =
                new PublishSpans(mParts.tracing().tracer(), mParts.metrics(), mParts.monotonic());
        mService =
                new OperatorService(
                        mParts.log(),
                        mParts.feedStatus(),
                        mParts.wall(),
                        mParts.tracing().tracer(),
                        spans);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setHttp2ClearTextEnabled(false)
                        .setWriteIdleTimeout((int) mParts.idleMilliseconds())
                        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
        RequestDecoder.Limits limits =
                RequestDecoder.Limits.ofIdleMilliseconds(mParts.idleMilliseconds());
        mServer = RequestDecoder.createServer(vertx, options, connection -> limits, this::handle);
        mServer.invalidRequestHandler(this::handleInvalid);
        return mServer.listen(mParts.port(), mParts.settings().self().host());
    }

    @Override
    public Future<?> stop() {
        return mServer.close();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return mServer.actualPort();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mContext.runOnContext(ignored -> mService.leadershipChanged(leadership));
    }

    /** Notifies the task of a committed change. */
    public void post(ControlChange change) {
        if (change instanceof PublishingChanged publishing) {
            mContext.runOnContext(
                    ignored -> mService.publishingChanged(publishing.state(), publishing.set()));
        }
    }

    /** Notifies the task that a revision is in force. */
    public void postInForce(long revision) {
        mContext.runOnContext(ignored -> mService.inForce(revision));
    }

    private void handle(HttpServerRequest request) {
        mParts.metrics().meter("operator_requests").mark();
        String route = request.method() + " " + request.path();
        switch (route) {
            case "GET /healthz" -> respond(request, 200, "text/plain", "ok\n");
            case "GET /readyz" -> ready(request);
            case "GET /metrics" ->
                    respond(request, 200, "text/plain", PrometheusText.write(mParts.metrics()));
            default -> authenticate(request, route);
        }
    }

    private void authenticate(HttpServerRequest request, String route) {
        if (mCredentials.find(request.getHeader("Authorization")).isEmpty()) {
            sendError(
                    request,
                    ErrorKind.OPERATOR_REFUSED,
                    "give your operator credential as a bearer token; its digest must be in the"
                            + " control settings");
            return;
        }
        switch (route) {
            case "POST /v1/sets" -> publish(request);
            case "GET /v1/sets/current" ->
                    respond(request, mService.currentSet(), this::setResponse);
            case "GET /v1/status" -> status(request);
            case "GET /v1/usage" -> usage(request);
            case "GET /v1/usage/forecast" ->
                    respond(
                            request,
                            mService.forecast(),
                            forecast -> jsonResponse(UsageJson.of(forecast)));
            default -> sendError(request, ErrorKind.ROUTE_UNKNOWN, "unknown operation " + route);
        }
    }

    private void ready(HttpServerRequest request) {
        boolean ready = mService.leadership().leader().isPresent();
        respond(request, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no leader\n");
    }

    private void publish(HttpServerRequest request) {
        Result<PublishHeaders> headers = PublishHeaders.read(request);
        headers.match(
                valid -> readBody(request, yaml -> publish(request, valid, yaml)),
                error -> sendError(request, error));
    }

    private void publish(HttpServerRequest request, PublishHeaders headers, String yaml) {
        io.opentelemetry.context.Context parent = HttpTraceContext.of(request, mParts.tracing());
        Span span =
                mParts.tracing()
                        .tracer()
                        .spanBuilder("control.publish")
                        .setParent(parent)
                        .startSpan();
        span.setAttribute("publish_id", headers.publishId().value());
        Publish publish = new Publish(headers.publishId(), headers.baseRevision(), yaml);
        respond(
                request,
                mService.publish(publish, parent.with(span)).onComplete(done -> span.end()),
                response -> httpResponse(OperatorJson.of(response)));
    }

    private void status(HttpServerRequest request) {
        Function<OperatorStatus, HttpResponse> encode =
                status -> httpResponse(OperatorJson.of(mParts.settings(), status));
        if ("true".equals(request.getParam("local"))) {
            respond(request, mService.localStatus().map(Result::success), encode);
        } else {
            respond(request, mService.status(), encode);
        }
    }

    private void usage(HttpServerRequest request) {
        Optional<String> month = Optional.ofNullable(request.getParam("month"));
        try {
            respond(
                    request,
                    mService.usage(month.map(YearMonth::parse)),
                    statement -> jsonResponse(UsageJson.of(statement)));
        } catch (DateTimeParseException e) {
            sendError(
                    request,
                    ErrorKind.BAD_REQUEST,
                    "month must have the form YYYY-MM, such as 2026-12");
        }
    }

    private static HttpResponse jsonResponse(ObjectNode json) {
        return new HttpResponse(200, JSON, json + "\n");
    }

    private HttpResponse setResponse(PublishingState state) {
        String yaml =
                state.yaml()
                        .lines()
                        .filter(line -> !line.startsWith(BASE_REVISION_COMMENT))
                        .reduce(
                                BASE_REVISION_COMMENT + state.revision() + "\n",
                                (text, line) -> text + line + "\n");
        return new HttpResponse(200, "application/yaml", yaml);
    }

    private <T> void respond(
            HttpServerRequest request, Future<Result<T>> result, Function<T, HttpResponse> encode) {
        result.onSuccess(
                        done ->
                                done.match(
                                        value -> respond(request, encode.apply(value)),
                                        error -> redirectOrSendError(request, error)))
                .onFailure(
                        e -> {
                            LOG.error(e, "control.operator.fault", "path", request.path());
                            sendError(
                                    request,
                                    ErrorKind.INTERNAL,
                                    "internal error; see the log of this control VM");
                        });
    }

    /**
     * Redirects to the leader if this member is a follower and the leader is known. Otherwise sends
     * the error.
     */
    private void redirectOrSendError(HttpServerRequest request, SkylarkError error) {
        Optional<String> location =
                mService.leadership()
                        .leader()
                        .filter(leader -> error.kind() == ErrorKind.NO_LEADER)
                        .filter(leader -> !leader.equals(mParts.settings().vm()))
                        .flatMap(mParts.settings()::find)
                        .map(m -> "http://" + m.host() + ":" + m.operatorPort() + request.uri());
        if (location.isPresent()) {
            request.response().putHeader("Location", location.get());
            respond(request, 307, JSON, OperatorJson.of(error).json());
        } else {
            sendError(request, error);
        }
    }

    private void readBody(HttpServerRequest request, Consumer<String> onBody) {
        int maxBytes = mParts.settings().maxSetBytes();
        Buffer body = Buffer.buffer();
        request.handler(
                chunk -> {
                    if (body.length() + chunk.length() <= maxBytes) {
                        body.appendBuffer(chunk);
                    } else if (!request.response().ended()) {
                        RefusedBody.closeConnection(vertx, request);
                        sendError(
                                request,
                                ErrorKind.BODY_TOO_LARGE,
                                "a set may have at most " + maxBytes + " bytes (max_set_bytes)");
                    }
                });
        request.endHandler(
                ignored -> {
                    if (!request.response().ended()) {
                        Utf8.decode(body.getBytes(), ErrorKind.BAD_REQUEST)
                                .match(onBody, error -> sendError(request, error));
                    }
                });
    }

    private void handleInvalid(HttpServerRequest request) {
        sendError(
                request,
                ErrorKind.HEADERS_TOO_LARGE,
                "the request is not valid HTTP or its headers exceed 16 KiB");
    }

    private void sendError(HttpServerRequest request, ErrorKind kind, String detail) {
        sendError(request, new SkylarkError(kind, detail));
    }

    private void sendError(HttpServerRequest request, SkylarkError error) {
        if (error.kind().retryable()) {
            request.response().putHeader("Retry-After", RETRY_AFTER_SECONDS);
        }
        respond(request, httpResponse(OperatorJson.of(error)));
    }

    private static HttpResponse httpResponse(OperatorJson.Response response) {
        return new HttpResponse(response.httpStatus(), JSON, response.json() + "\n");
    }

    private static void respond(HttpServerRequest request, HttpResponse response) {
        respond(request, response.httpStatus(), response.contentType(), response.body());
    }

    private static void respond(HttpServerRequest request, int status, String type, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response().setStatusCode(status).putHeader("Content-Type", type).end(body);
        }
    }

    /** A response that has not been sent yet. */
    private record HttpResponse(int httpStatus, String contentType, String body) {}

    /** The headers of a publish request. */
    private record PublishHeaders(PublishId publishId, long baseRevision) {
        static Result<PublishHeaders> read(HttpServerRequest request) {
            String id = request.getHeader("X-Publish-Id");
            String base = request.getHeader("X-Base-Revision");
            if (!PublishId.isValid(id)) {
                return Result.failure(
                        ErrorKind.BAD_REQUEST,
                        "the X-Publish-Id header must have 1 to 64 letters, digits, '-', '_' or"
                                + " '.'");
            }
            if (base == null || !base.matches("[0-9]{1,18}")) {
                return Result.failure(
                        ErrorKind.BAD_REQUEST,
                        "the X-Base-Revision header must be the revision number on which the set is"
                                + " based");
            }
            return Result.success(new PublishHeaders(new PublishId(id), Long.parseLong(base)));
        }
    }
}
