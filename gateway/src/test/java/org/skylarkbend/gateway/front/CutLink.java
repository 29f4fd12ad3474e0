package org.skylarkbend.gateway.front;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.testing.RawServer;

/** The link of one VM to all endpoints, which a test can cut. */
final class CutLink implements EndpointDialer {
    /** What happens to the connections of a link that is cut. */
    enum Cut {
        /** Open connections hang, and so do new ones until they time out. */
        HANGING,
        /** Open connections are reset, and new ones are refused. */
        RESETTING,
        /** Open connections live on, and new ones are refused. */
        REFUSING
    }

    private final Vertx mVertx;
    private final EndpointDialer mDirect;
    private final List<NetSocket> mOpen = new CopyOnWriteArrayList<>();
    private final AtomicInteger mOpened = new AtomicInteger();
    private volatile Cut mCut;

    CutLink(Vertx vertx) {
        mVertx = vertx;
        mDirect = EndpointDialer.direct(vertx, EndpointAccess.CONNECT_TIMEOUT_MILLISECONDS);
    }

    /** Cuts the link. Must be called on the event loop of its gateway. */
    void cut(Cut cut) {
        mCut = cut;
        if (cut == Cut.HANGING) {
            mOpen.forEach(NetSocket::pause);
        } else if (cut == Cut.RESETTING) {
            mOpen.forEach(RawServer::reset);
        }
    }

    /** Ends the cut for new connections. */
    void heal() {
        mCut = null;
    }

    /** Returns the number of connections that were opened. */
    int opened() {
        return mOpened.get();
    }

    @Override
    public Future<NetSocket> dial(SocketAddress endpoint) {
        if (mCut == Cut.HANGING) {
            Promise<NetSocket> promise = Promise.promise();
            mVertx.setTimer(
                    EndpointAccess.CONNECT_TIMEOUT_MILLISECONDS,
                    id -> promise.fail(new ConnectTimeoutException("timed out")));
            return promise.future();
        }
        if (mCut != null) {
            return Future.failedFuture(new ConnectException("refused"));
        }
        return mDirect.dial(endpoint)
                .onSuccess(
                        socket -> {
                            mOpened.incrementAndGet();
                            mOpen.add(socket);
                        });
    }
}
