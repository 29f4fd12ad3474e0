package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.testing.RawServer;

/** Endpoint that keeps the bytes of each request it receives and responds with status 200. */
public final class CapturingEndpoint {
    private static final Pattern CALL_ID = Pattern.compile("(?i)\r\ncall-id: *(.*?)\r\n");

    private final int mPort = LoopbackPorts.next();
    private final List<String> mRequests = new CopyOnWriteArrayList<>();

    /** Starts to listen on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        return new RawServer(vertx, this::respond).listen(mPort);
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return ListedEndpoint.of("e", mPort);
    }

    /** Returns all received bytes, one entry for each complete request. */
    public List<String> requests() {
        return mRequests;
    }

    private void respond(RawServer.Request request, NetSocket socket) {
        mRequests.add(request.bytes());
        Matcher id = CALL_ID.matcher(request.bytes());
        socket.write(
                "HTTP/1.1 200 OK\r\nCall-Id: "
                        + (id.find() ? id.group(1) : "")
                        + "\r\nSeal: seal\r\nContent-Length: 4\r\n\r\ndone");
    }
}
