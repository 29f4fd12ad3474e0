package org.skylarkbend.gateway.front;

import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.catalog.CallerLimits;

/** Options of the server for callers. */
final class CallerServer {
    /**
     * Idle timeout of the server. Callers may keep connections open as long as the catalog allows,
     * so the server closes them late.
     */
    static final long IDLE_TIMEOUT_MILLISECONDS = 120_000;

    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

    private CallerServer() {}

    /** Returns the options. */
    static HttpServerOptions options() {
        return new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(CallerLimits.defaults().headerBytes())
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setIdleTimeout((int) IDLE_TIMEOUT_MILLISECONDS)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS);
    }
}
