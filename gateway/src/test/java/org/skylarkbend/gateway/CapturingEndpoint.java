package org.skylarkbend.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.testing.LoopbackPorts;

/** Endpoint that keeps the bytes of each request it receives and responds with status 200. */
public final class CapturingEndpoint {
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)\r\n");
    private static final Pattern CALL_ID = Pattern.compile("(?i)\r\ncall-id: *(.*?)\r\n");

    private final int mPort = LoopbackPorts.next();
    private final List<String> mRequests = new CopyOnWriteArrayList<>();

    /** Starts to listen on the loopback interface. */
    public Future<?> listen(Vertx vertx) {
        return vertx.createNetServer().connectHandler(this::serve).listen(mPort, "127.0.0.1");
    }

    /** Returns the entry of this endpoint in the list of the platform. */
    public Endpoint listed() {
        return new Endpoint("e", "desk", "127.0.0.1", mPort, "z", "v1", 6, false, 1, Map.of());
    }

    /** Returns all received bytes, one entry for each complete request. */
    public List<String> requests() {
        return mRequests;
    }

    private void serve(NetSocket socket) {
        StringBuilder received = new StringBuilder();
        socket.handler(
                chunk -> {
                    received.append(chunk.toString("ISO-8859-1"));
                    int lengthChars = requestLengthChars(received);
                    while (lengthChars > 0) {
                        String request = received.substring(0, lengthChars);
                        received.delete(0, lengthChars);
                        mRequests.add(request);
                        socket.write(responseTo(request));
                        lengthChars = requestLengthChars(received);
                    }
                });
    }

    /** Returns the length of the first request, or -1 while it is incomplete. */
    private static int requestLengthChars(StringBuilder received) {
        int headEnd = received.indexOf(HEAD_END);
        if (headEnd < 0) {
            return -1;
        }
        int bodyStart = headEnd + HEAD_END.length();
        Matcher length = LENGTH.matcher(received.substring(0, bodyStart));
        int end = bodyStart + (length.find() ? Integer.parseInt(length.group(1)) : 0);
        return received.length() < end ? -1 : end;
    }

    private static String responseTo(String request) {
        Matcher id = CALL_ID.matcher(request);
        return "HTTP/1.1 200 OK\r\nCall-Id: "
                + (id.find() ? id.group(1) : "")
                + "\r\nSeal: seal\r\nContent-Length: 4\r\n\r\ndone";
    }
}
