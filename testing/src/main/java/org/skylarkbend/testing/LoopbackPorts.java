package org.skylarkbend.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for tests that must know the port of a server before it listens.
 *
 * <p>The ports are below the ephemeral range, so that no outgoing connection can take a port
 * between its allocation and its use. Each process starts at a different offset.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 10_000;
    private static final int PORTS_PER_PROCESS = 97;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(
                    (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private LoopbackPorts() {}

    /** Returns a port on which nothing listens. */
    public static int next() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port in the test range");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
