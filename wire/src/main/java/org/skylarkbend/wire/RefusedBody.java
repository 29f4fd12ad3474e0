package org.skylarkbend.wire;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import org.skylarkbend.base.StructuredLog;

/** Ends the connection of a request whose body was refused before all of it had arrived. */
public final class RefusedBody {
    private static final StructuredLog LOG = StructuredLog.of(RefusedBody.class);

    /** Time for which the rest of a refused body is read. */
    private static final long DISCARD_MILLISECONDS = 1_000;

    /**
     * Time for which the response may be on its way before bytes behind the body could reset it.
     */
    private static final long LINGER_MILLISECONDS = 100;

    private static final AttributeKey<Boolean> CLOSING =
            AttributeKey.valueOf(RefusedBody.class, "closing");

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
        HttpConnection connection = request.connection();
        channel(connection).attr(CLOSING).set(true);
        request.response().putHeader("Connection", "close");
        vertx.setTimer(DISCARD_MILLISECONDS, id -> connection.close());
        if (!request.isEnded()) {
            request.endHandler(
                    ignored -> vertx.setTimer(LINGER_MILLISECONDS, id -> connection.close()));
        }
    }

    /**
     * Closes a connection without a response, so that the memory of its requests is free at once.
     * Vert.x itself would wait for the end of the request.
     */
    public static void abort(HttpConnection connection) {
        channel(connection).close();
    }

    /**
     * Returns a handler of requests that leaves out those on a connection which is about to be
     * closed: a response to them could be cut.
     */
    static Handler<HttpServerRequest> leavingOut(Handler<HttpServerRequest> handler) {
        return request -> {
            if (channel(request.connection()).hasAttr(CLOSING)) {
                LOG.info("request.left_out", "peer", request.remoteAddress());
            } else {
                handler.handle(request);
            }
        };
    }

    /** Returns the channel of a connection. */
    static Channel channel(HttpConnection connection) {
        return ((ConnectionBase) connection).channel();
    }
}
