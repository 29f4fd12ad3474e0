package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;

/**
 * Endpoint that responds to the first bytes of a request and reads none of the others. Its sockets
 * are blocking ones, since a paused socket of Vert.x still reads some bytes.
 */
public final class EarlyEndpoint {
    /** Request that the buffers of a connection on the loopback interface can't hold. */
    public static final int UNBUFFERED_BYTES = 5_000_000;

    private static final int READ_BYTES = 600;
    private static final int BACKLOG = 10;

    /** Time in which the other side sees the regular end of the connection. */
    private static final long RESET_AFTER_MILLISECONDS = 50;

    /** How the connection ends after the response. */
    public enum End {
        /** It is reset. */
        RESET,
        /** It is ended in the regular way, and reset while more of the request waits. */
        CLOSE_THEN_RESET
    }

    private final int mPort = LoopbackPorts.next();
    private final byte[] mResponse;
    private final long mPauseMilliseconds;
    private final End mEnd;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param response bytes of the response
     * @param pauseMilliseconds time from the response to the end of the connection
     * @param end how the connection ends
     */
    public EarlyEndpoint(String response, long pauseMilliseconds, End end) {
        mResponse = response.getBytes(StandardCharsets.ISO_8859_1);
        mPauseMilliseconds = pauseMilliseconds;
        mEnd = end;
    }

    /** Returns limits that allow requests of this size. */
    public static CallerLimits limitsOfLargeBodies() {
        CallerLimits limits = CallerLimits.defaults();
        return new CallerLimits(
                limits.headerBytes(),
                UNBUFFERED_BYTES,
                limits.headerMilliseconds(),
                limits.idleMilliseconds());
    }

    /** Starts to serve one connection on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        return vertx.executeBlocking(
                        () -> new ServerSocket(mPort, BACKLOG, InetAddress.getLoopbackAddress()))
                .onSuccess(server -> vertx.executeBlocking(() -> serve(vertx, server), false));
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return ListedEndpoint.of("early", mPort);
    }

    private Void serve(Vertx vertx, ServerSocket server) throws IOException {
        try (server) {
            Socket socket = server.accept();
            socket.getInputStream().readNBytes(READ_BYTES);
            socket.getOutputStream().write(mResponse);
            vertx.setTimer(mPauseMilliseconds, id -> end(vertx, socket));
            return null;
        }
    }

    private void end(Vertx vertx, Socket socket) {
        try {
            if (mEnd == End.RESET) {
                reset(socket);
            } else {
                socket.shutdownOutput();
                vertx.setTimer(RESET_AFTER_MILLISECONDS, id -> reset(socket));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void reset(Socket socket) {
        try (socket) {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
