package org.skylarkbend.control;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy between one member and the agreement port of another. It forwards bytes or, while it
 * is cut, drops them silently, both on open connections and on new ones.
 */
final class CuttableLink {
    private final NetClient mClient;
    private final NetServer mServer;
    private volatile boolean mCut;

    CuttableLink(Vertx vertx, int targetPort) throws Exception {
        mClient = vertx.createNetClient();
        mServer = vertx.createNetServer();
        mServer.connectHandler(
                socket -> {
                    socket.pause();
                    mClient.connect(targetPort, "127.0.0.1")
                            .onSuccess(target -> pipe(socket, target))
                            .onFailure(e -> socket.close());
                });
        mServer.listen(0, "127.0.0.1").await(10, TimeUnit.SECONDS);
    }

    int port() {
        return mServer.actualPort();
    }

    void cut(boolean cut) {
        mCut = cut;
    }

    private void pipe(NetSocket from, NetSocket to) {
        forward(from, to);
        forward(to, from);
        from.closeHandler(ignored -> to.close());
        to.closeHandler(ignored -> from.close());
        from.resume();
    }

    /**
     * Forwards bytes in one direction. Once bytes were dropped, all later ones are dropped too,
     * since a stream with a gap cannot be decoded; the members close such a connection later.
     */
    private void forward(NetSocket from, NetSocket to) {
        boolean[] dropped = new boolean[1];
        from.handler(
                bytes -> {
                    dropped[0] |= mCut;
                    if (!dropped[0]) {
                        to.write(bytes);
                    }
                });
    }
}
