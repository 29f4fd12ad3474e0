package org.skylarkbend.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.StandinServer;
import org.skylarkbend.standin.engine.EngineEffect.DropConnection;
import org.skylarkbend.standin.engine.EngineEffect.OrderOutcome;
import org.skylarkbend.standin.engine.EngineEffect.RespondToOrder;
import org.skylarkbend.standin.engine.EngineEffect.SendEmpty;
import org.skylarkbend.standin.engine.EngineEffect.SendEnd;
import org.skylarkbend.standin.engine.EngineEffect.SendEvent;
import org.skylarkbend.standin.engine.EngineEffect.SendFailure;
import org.skylarkbend.standin.engine.EngineEffect.SendToken;
import org.skylarkbend.standin.engine.EngineEffect.WakeAt;
import org.skylarkbend.standin.engine.EngineMessage.Cancel;
import org.skylarkbend.standin.engine.EngineMessage.ChangeFaults;
import org.skylarkbend.standin.engine.EngineMessage.ConnectionClosed;
import org.skylarkbend.standin.engine.EngineMessage.Resume;
import org.skylarkbend.standin.engine.EngineMessage.Submit;
import org.skylarkbend.standin.engine.EngineMessage.Wake;

/** The fake engine: its HTTP server, its timer and its decider. */
public final class EngineTask extends VerticleBase {
    private static final String STREAMS_PATH = "/v1/streams/";

    private final EngineAddress mAddress;
    private final EngineDecider mDecider;
    private final MillisecondClock mClock;
    private final Tracing mTracing;
    private final Map<String, ResponseWriter> mWriters = new HashMap<>();
    private final EventListeners mListeners = new EventListeners();
    private StandinServer mServer;
    private long mTimerId = -1;
    private String mLastAttempt = "none";

    /** Creates a task for one engine. */
    public EngineTask(
            EngineAddress address, EngineDecider decider, MillisecondClock clock, Tracing tracing) {
        mAddress = address;
        mDecider = decider;
        mClock = clock;
        mTracing = tracing;
    }

    @Override
    public Future<?> start() {
        mServer = new StandinServer(vertx, mTracing);
        return mServer.listen("engine", mAddress.host(), mAddress.port(), this::route);
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
        String path = request.path();
        if (path.equals("/v1/chat/completions")) {
            submit(request, body);
        } else if (path.startsWith(STREAMS_PATH)) {
            stream(request, path.substring(STREAMS_PATH.length()));
        } else if (path.equals("/load")) {
            mServer.respond(request, 200, EngineCodec.report(mDecider.report(now())));
        } else if (path.equals("/state")) {
            mServer.respond(request, 200, EngineCodec.view(mDecider.view(now())));
        } else if (path.equals("/orders")) {
            order(request, body);
        } else if (path.equals("/events")) {
            listenToEvents(request);
        } else if (path.equals("/faults")) {
            changeFaults(request, new JsonObject(body));
        } else if (path.equals("/received")) {
            request.response().end(mServer.received());
        } else {
            mServer.respond(request, 404, new JsonObject().put("error", "no such path"));
        }
    }

    private void submit(HttpServerRequest request, String text) {
        if (!mAddress.isAuthorized(request.getHeader("Authorization"))) {
            mServer.respond(request, 401, new JsonObject().put("error", "invalid credential"));
            return;
        }
        JsonObject body = new JsonObject(text);
        String attempt = headerOr(request, "X-Skylark-Attempt", UUID.randomUUID().toString());
        String scope = headerOr(request, "X-Skylark-Cache-Scope", "");
        int priority = Integer.parseInt(headerOr(request, "X-Skylark-Priority", "0"));
        String echoedAttempt = mDecider.faults().crossedAttempts() ? mLastAttempt : attempt;
        mLastAttempt = attempt;
        attach(request, attempt, echoedAttempt, body.getBoolean("stream", false));
        process(new Submit(EngineCodec.request(body, attempt, scope, priority)));
    }

    private void attach(
            HttpServerRequest request, String attempt, String echoedAttempt, boolean streaming) {
        ResponseWriter writer =
                new ResponseWriter(
                        mServer,
                        request,
                        mServer.startSpan("engine.answer", request),
                        echoedAttempt,
                        mDecider.view(now()).activeVersion(),
                        streaming);
        mWriters.put(attempt, writer);
        if (mDecider.faults().leaving()) {
            request.response().putHeader(StandinServer.LEAVING_HEADER, "1");
        }
        request.response()
                .closeHandler(
                        ignored -> {
                            if (mWriters.remove(attempt, writer)) {
                                process(new ConnectionClosed(attempt));
                            }
                        });
    }

    private void stream(HttpServerRequest request, String attempt) {
        if (request.method().equals(HttpMethod.DELETE)) {
            mWriters.remove(attempt);
            process(new Cancel(attempt));
            mServer.respond(request, 200, new JsonObject().put("cancelled", attempt));
        } else {
            int afterPosition = Integer.parseInt(request.getParam("after", "0"));
            attach(request, attempt, attempt, true);
            process(new Resume(attempt, afterPosition));
        }
    }

    private void order(HttpServerRequest request, String body) {
        for (EngineEffect effect : process(EngineCodec.order(new JsonObject(body)))) {
            if (effect instanceof RespondToOrder respond) {
                int status = respond.outcome() == OrderOutcome.ACCEPTED ? 200 : 409;
                JsonObject reply =
                        new JsonObject()
                                .put("last_fencing_number", respond.lastFencingNumber())
                                .put("outcome", respond.outcome().name().toLowerCase());
                mServer.respond(request, status, reply);
            }
        }
    }

    private void listenToEvents(HttpServerRequest request) {
        long afterSequence = Long.parseLong(request.getParam("after", "0"));
        mListeners.add(request, mServer, mDecider.eventsAfter(afterSequence));
    }

    private void changeFaults(HttpServerRequest request, JsonObject body) {
        process(new ChangeFaults(EngineCodec.faults(body)));
        if (body.getBoolean("silent", false)) {
            mServer.silenceOthers(request.connection());
        }
        if (body.getBoolean("crashed", false)) {
            mListeners.closeAll();
        }
        mServer.respond(request, 200, new JsonObject().put("faults", body));
    }

    private List<EngineEffect> process(EngineMessage message) {
        List<EngineEffect> effects = mDecider.decide(message, now());
        effects.forEach(this::execute);
        return effects;
    }

    private void execute(EngineEffect effect) {
        if (effect instanceof SendToken token) {
            writer(token.attempt()).ifPresent(writer -> writer.token(token));
        } else if (effect instanceof SendEnd end) {
            removeWriter(end.attempt()).ifPresent(writer -> writer.end(end));
        } else if (effect instanceof SendFailure failure) {
            removeWriter(failure.attempt()).ifPresent(writer -> writer.fail(failure.httpStatus()));
        } else if (effect instanceof SendEmpty empty) {
            removeWriter(empty.attempt()).ifPresent(ResponseWriter::empty);
        } else if (effect instanceof DropConnection drop) {
            removeWriter(drop.attempt()).ifPresent(ResponseWriter::drop);
        } else if (effect instanceof SendEvent event) {
            mListeners.send(event.event());
        } else if (effect instanceof WakeAt wake) {
            wakeAt(wake.atMilliseconds());
        }
    }

    private Optional<ResponseWriter> writer(String attempt) {
        return Optional.ofNullable(mWriters.get(attempt));
    }

    private Optional<ResponseWriter> removeWriter(String attempt) {
        return Optional.ofNullable(mWriters.remove(attempt));
    }

    private void wakeAt(long atMilliseconds) {
        vertx.cancelTimer(mTimerId);
        long waitMilliseconds = Math.max(1, atMilliseconds - now());
        mTimerId = vertx.setTimer(waitMilliseconds, id -> process(new Wake()));
    }

    private long now() {
        return mClock.nowMilliseconds();
    }

    private static String headerOr(HttpServerRequest request, String name, String defaultValue) {
        String value = request.getHeader(name);
        return value == null ? defaultValue : value;
    }
}
