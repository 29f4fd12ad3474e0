package org.skylarkbend.wire;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

/** Ends the connection of a request whose body was refused before all of it had arrived. */
public final class RefusedBody {
    /** Time for which the rest of a refused body is read. */
    private static final long DISCARD_MILLISECONDS = 1_000;

    private RefusedBody() {}

    /**
     * Closes the connection after a while, and announces it in the response. The rest of the body
     * is read and discarded until then, since closing a connection with unread bytes could reset it
     * before the response is read.
     *
     * @param vertx runs the timer
     * @param request request whose response has not been sent yet
     */
    public static void closeConnection(Vertx vertx, HttpServerRequest request) {
        request.response().putHeader("Connection", "close");
        vertx.setTimer(DISCARD_MILLISECONDS, id -> request.connection().close());
    }
}
