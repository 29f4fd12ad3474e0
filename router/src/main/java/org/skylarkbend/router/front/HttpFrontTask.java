package org.skylarkbend.router.front;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.telemetry.MetricsPage;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.intake.BodyIntake;
import org.skylarkbend.intake.BodyLimits;
import org.skylarkbend.intake.CallerBudgets;
import org.skylarkbend.intake.CallerConnections;
import org.skylarkbend.intake.CallerMemory;
import org.skylarkbend.router.Call;
import org.skylarkbend.router.HttpHeader;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.router.RouterBounds.CallerBounds;
import org.skylarkbend.router.RouterSettings;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.ForwardMessage;
import org.skylarkbend.router.forward.ResponseMessage;
import org.skylarkbend.router.link.ServingView;
import org.skylarkbend.wire.RequestDecoder;

/** HTTP server task that owns the callers' connections, reads requests and writes responses. */
public final class HttpFrontTask extends VerticleBase {
    private static final TextMapGetter<HttpServerRequest> HEADERS = new RequestHeaders();
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Bodies of requests may take this part of the heap. The forwarding task copies them. */
    private static final int HEAP_PARTS_OF_BODIES = 8;

    /** Bodies that have taken the memory before are forwarded within the time. */
    private static final long MEMORY_RETRY_MILLISECONDS = 1_000;

    /** Interval of the checks for bodies that are late. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 50;

    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

    private final RouterSettings mSettings;
    private final Mailbox<FrontMessage> mMailbox;
    private final Consumer<ForwardMessage> mForward;
    private final CallAdmission mAdmission;
    private final MetricRegistry mMetrics;
    private final MetricsPage mMetricsPage;
    private final CallerMemory mMemory;
    private final CallerConnections mConnections;
    private final Tracing mTracing;
    private final MillisecondClock mClock;
    private final Map<String, CallerExchange> mRunning = new HashMap<>();
    private IdleTimeouts mIdle;
    private BodyIntake mIntake;
    private HttpServer mServer;
    private ServingView mView = ServingView.none();
    private Optional<Runnable> mWhenDrained = Optional.empty();
    private boolean mDraining;
    private boolean mLimitOwnerAvailable;
    private int mOpenRequests;

    /** Creates a task that passes admitted calls to the given consumer. */
    public HttpFrontTask(
            RouterSettings settings,
            String callIdPrefix,
            Mailbox<FrontMessage> mailbox,
            Consumer<ForwardMessage> forward,
            MetricRegistry metrics,
            Tracing tracing,
            MillisecondClock clock) {
        mSettings = settings;
        mMailbox = mailbox;
        mForward = forward;
        mAdmission = new CallAdmission(callIdPrefix);
        mMetrics = metrics;
        mMetricsPage = new MetricsPage(metrics, clock);
        ByteBudget bodies =
                new ByteBudget(
                        "front_bodies",
                        Runtime.getRuntime().maxMemory() / HEAP_PARTS_OF_BODIES,
                        metrics);
        mMemory = new CallerMemory(CallerBudgets.ofHeap("front", bodies, metrics), clock);
        mConnections =
                new CallerConnections(
                        "caller",
                        mMemory,
                        settings.bounds().callers().maxConnections(),
                        connection -> mIdle.closed(connection),
                        metrics);
        mTracing = tracing;
        mClock = clock;
        metrics.gauge("front_open_requests", () -> () -> mOpenRequests);
        metrics.gauge("link_revision", () -> () -> mView.published().revision());
        metrics.gauge("link_lease_remaining_seconds", () -> this::leaseRemainingSeconds);
        for (ErrorKind kind : ErrorKind.values()) {
            metrics.meter(refusalName(kind));
        }
    }

    @Override
    public Future<?> start() {
        CallerBounds bounds = mSettings.bounds().callers();
        mIdle = new IdleTimeouts(vertx, bounds);
        mIntake = new BodyIntake(vertx, mMemory, mClock);
        vertx.setPeriodic(CHECK_INTERVAL_MILLISECONDS, id -> mIntake.endLate());
        mMailbox.bind(context, this::handle);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setHttp2ClearTextEnabled(false)
                        .setHandle100ContinueAutomatically(true)
                        .setMaxInitialLineLength(bounds.maxHeaderBytes())
                        .setMaxHeaderSize(bounds.maxHeaderBytes());
        mServer = RequestDecoder.createServer(vertx, options, this::connected, this::handleRequest);
        mServer.invalidRequestHandler(this::refuseInvalid);
        return mServer.listen(mSettings.http().port(), mSettings.http().host());
    }

    /** Returns the limits on a connection that a caller has opened. */
    private RequestDecoder.Limits connected(HttpConnection connection) {
        CallerBounds bounds = mSettings.bounds().callers();
        mIdle.opened(connection);
        return mConnections.opened(
                connection, bounds::requestReadMilliseconds, bounds::idleConnectionMilliseconds);
    }

    private BodyLimits bodyLimits() {
        CallerBounds bounds = mSettings.bounds().callers();
        return new BodyLimits(
                bounds.maxBodyBytes(),
                bounds.requestReadMilliseconds(),
                mClock.nowMilliseconds() + bounds.requestReadMilliseconds(),
                new BodyLimits.Errors(
                        () -> RequestErrors.bodyTooLarge(bounds.maxBodyBytes()),
                        RequestErrors::noMemory,
                        RequestErrors::readTimedOut));
    }

    private static String refusalName(ErrorKind kind) {
        return "front_refusals_" + kind.code();
    }

    private double leaseRemainingSeconds() {
        long leaseUntilMilliseconds = mView.leaseUntilMilliseconds();
        boolean none = mView.published().revision() == 0;
        return none
                ? -1
                : (leaseUntilMilliseconds - mClock.nowMilliseconds()) / MILLISECONDS_PER_SECOND;
    }

    /** Returns the port of the HTTP server. */
    public int port() {
        return mServer.actualPort();
    }

    private void handle(FrontMessage message) {
        if (message instanceof FrontMessage.ResponseReceived received) {
            CallerExchange exchange = mRunning.get(received.response().call());
            if (exchange != null) {
                writeResponse(exchange, received.response());
            }
        } else if (message instanceof FrontMessage.ViewChanged changed) {
            mView = changed.view();
        } else if (message instanceof FrontMessage.LimitOwnerAvailable) {
            mLimitOwnerAvailable = true;
        } else if (message instanceof FrontMessage.Drain drain) {
            mDraining = true;
            long noticeMilliseconds = mSettings.bounds().drainNoticeMilliseconds();
            vertx.setTimer(noticeMilliseconds, id -> endWhenDrained(drain.whenDrained()));
        }
    }

    private void writeResponse(CallerExchange exchange, ResponseMessage response) {
        if (response instanceof ResponseMessage.Full full) {
            exchange.respond(full);
        } else if (response instanceof ResponseMessage.Event event) {
            exchange.event(event.event());
        } else if (response instanceof ResponseMessage.Complete) {
            exchange.complete(SseEvent.endMarkerBytes());
        } else if (response instanceof ResponseMessage.Failed failed) {
            exchange.fail(failed.error(), failed.retryAfterMilliseconds());
        }
    }

    private void handleRequest(HttpServerRequest request) {
        mOpenRequests++;
        mConnections.begun(request);
        mIdle.requestStarted(request.connection());
        Context parent = mTracing.propagator().extract(Context.root(), request, HEADERS);
        Span span =
                mTracing.tracer()
                        .spanBuilder("call")
                        .setParent(parent)
                        .setSpanKind(SpanKind.SERVER)
                        .startSpan();
        CallerExchange exchange =
                new CallerExchange(vertx, request, mSettings.bounds().callers(), span);
        if (mDraining) {
            exchange.closeAfterResponse();
        }
        exchange.onEnd(() -> requestEnded(request));
        exchange.read(
                mIntake,
                bodyLimits(),
                body -> dispatch(exchange, parent, body),
                error -> exchange.fail(error, MEMORY_RETRY_MILLISECONDS));
    }

    private void requestEnded(HttpServerRequest request) {
        mOpenRequests--;
        mIdle.requestEnded(request.connection());
        endWhenDrained();
    }

    private void endWhenDrained(Runnable whenDrained) {
        mWhenDrained = Optional.of(whenDrained);
        endWhenDrained();
    }

    private void endWhenDrained() {
        if (mOpenRequests == 0) {
            mWhenDrained.ifPresent(Runnable::run);
        }
    }

    private void dispatch(CallerExchange exchange, Context parent, Buffer body) {
        String path = exchange.request().path();
        if (path.equals("/healthz")) {
            exchange.respond(200, JSON, "{\"status\":\"alive\"}");
        } else if (path.equals("/readyz")) {
            respondReadiness(exchange);
        } else if (path.equals("/metrics")) {
            exchange.respond(200, TEXT, mMetricsPage.text());
        } else if (mWhenDrained.isPresent()) {
            exchange.fail(RequestErrors.draining(), 0);
        } else {
            admit(exchange, parent.with(exchange.span()), body);
        }
    }

    private void respondReadiness(CallerExchange exchange) {
        boolean serves = mLimitOwnerAvailable && mView.mayServeKeyedAt(mClock.nowMilliseconds());
        boolean ready = serves && !mDraining;
        String text = "{\"ready\":" + ready + ",\"revision\":" + mView.published().revision() + "}";
        exchange.respond(ready ? 200 : 503, JSON, text);
    }

    private void admit(CallerExchange exchange, Context trace, Buffer body) {
        Span span = mTracing.tracer().spanBuilder("admission").setParent(trace).startSpan();
        CallerRequest request = requestOf(exchange.request(), body, trace);
        mAdmission
                .admit(request, mView, mClock.nowMilliseconds())
                .match(call -> submit(exchange, call), error -> refuse(exchange, error));
        span.end();
    }

    private void refuse(CallerExchange exchange, SkylarkError error) {
        mMetrics.meter(refusalName(error.kind())).mark();
        exchange.fail(error, 0);
    }

    private void submit(CallerExchange exchange, Call call) {
        exchange.span().setAttribute("route", call.grant().route().name().value());
        mRunning.put(call.id(), exchange);
        exchange.onEnd(
                () -> {
                    mRunning.remove(call.id());
                    mForward.accept(new ForwardMessage.CallerDisconnected(call.id()));
                    requestEnded(exchange.request());
                });
        exchange.onPause(
                paused ->
                        mForward.accept(
                                paused
                                        ? new ForwardMessage.PauseReading(call.id())
                                        : new ForwardMessage.ResumeReading(call.id())));
        mForward.accept(new ForwardMessage.Submit(call));
    }

    private static CallerRequest requestOf(HttpServerRequest request, Buffer body, Context trace) {
        List<HttpHeader> headers = new ArrayList<>();
        request.headers().forEach((name, value) -> headers.add(new HttpHeader(name, value)));
        return new CallerRequest(
                request.method().name(),
                request.path(),
                request.query() == null ? "" : request.query(),
                headers,
                body.getBytes(),
                trace);
    }

    private void refuseInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLarge =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        SkylarkError error =
                tooLarge
                        ? RequestErrors.headersTooLarge(
                                mSettings.bounds().callers().maxHeaderBytes())
                        : RequestErrors.notHttp();
        mMetrics.meter(refusalName(error.kind())).mark();
        request.response()
                .setStatusCode(error.kind().httpStatus())
                .putHeader("Connection", "close")
                .putHeader("Content-Type", JSON)
                .end(ErrorResponseCodec.encode(error))
                .onComplete(done -> request.connection().close());
    }

    /** Reads the trace context from the headers of a request. */
    private static final class RequestHeaders implements TextMapGetter<HttpServerRequest> {
        @Override
        public Iterable<String> keys(HttpServerRequest request) {
            return request.headers().names();
        }

        @Override
        public String get(HttpServerRequest request, String key) {
            return request == null ? null : request.getHeader(key);
        }
    }
}
