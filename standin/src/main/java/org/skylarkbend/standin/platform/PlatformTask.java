package org.skylarkbend.standin.platform;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.StandinServer;

/**
 * The HTTP server of the fake platform. {@code GET /vms} returns the list and {@code POST /vms}
 * replaces it.
 */
public final class PlatformTask extends VerticleBase {
    private final String mHost;
    private final int mRequestedPort;
    private final PlatformDecider mDecider;
    private final MillisecondClock mClock;
    private final Tracing mTracing;
    private StandinServer mServer;

    /** Creates a task for one platform. Port 0 selects a free port. */
    public PlatformTask(
            String host,
            int port,
            PlatformDecider decider,
            MillisecondClock clock,
            Tracing tracing) {
        mHost = host;
        mRequestedPort = port;
        mDecider = decider;
        mClock = clock;
        mTracing = tracing;
    }

    @Override
    public Future<?> start() {
        mServer = new StandinServer(vertx, mTracing);
        return mServer.listen("platform", mHost, mRequestedPort, this::route);
    }

    @Override
    public Future<?> stop() {
        return mServer.close();
    }

    /** Returns the port that the server listens on. Valid only after the start. */
    public int port() {
        return mServer.port();
    }

    private void route(HttpServerRequest request, String text) {
        if (!request.path().equals("/vms")) {
            mServer.respond(request, 404, new JsonObject().put("error", "no such path"));
            return;
        }
        long nowMilliseconds = mClock.nowMilliseconds();
        if (request.method().equals(HttpMethod.POST)) {
            JsonObject body = new JsonObject(text);
            mDecider.replace(
                    PlatformCodec.vms(body), PlatformCodec.endpoints(body), nowMilliseconds);
        }
        mServer.respond(request, 200, PlatformCodec.list(mDecider.visibleList(nowMilliseconds)));
    }
}
