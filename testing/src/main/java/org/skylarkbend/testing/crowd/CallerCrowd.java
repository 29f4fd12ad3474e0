package org.skylarkbend.testing.crowd;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Callers that send many requests, complete or not, read none of the responses and keep their
 * connections open.
 */
public final class CallerCrowd implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 5_000;
    private static final int PIECE_BYTES = 64 * 1024;

    /** Pause after a round in which no connection accepted a byte. */
    private static final long PAUSE_MILLISECONDS = 10;

    /** Number of such rounds in a row after which the crowd stops sending. */
    private static final int MAX_IDLE_ROUNDS = 200;

    private final List<Caller> mCallers = new ArrayList<>();

    /**
     * What a caller sends.
     *
     * @param head its first bytes
     * @param piece sent behind them several times
     * @param pieces number of pieces
     */
    public record Request(String head, String piece, int pieces) {
        byte[] bytes() {
            return (head + piece.repeat(pieces)).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Connection of a caller, and the bytes that are left to send on it. */
    private record Caller(SocketChannel channel, ByteBuffer rest) {
        /** Sends one piece. Returns whether the connection accepted any of it. */
        boolean sendPiece() throws IOException {
            int bytes = Math.min(PIECE_BYTES, rest.remaining());
            if (bytes == 0 || !channel.isOpen()) {
                return false;
            }
            ByteBuffer piece = rest.slice(rest.position(), bytes);
            try {
                int written = channel.write(piece);
                rest.position(rest.position() + written);
                return written > 0;
            } catch (IOException closedByTheOtherSide) {
                channel.close();
                return false;
            }
        }
    }

    /**
     * Sends a request on many connections at once, piece by piece in turn, until each of them has
     * been sent, is closed, or accepts no more bytes.
     *
     * @param port port of the process on the loopback interface
     * @param callers number of connections
     * @param request request that is sent on each
     */
    public void send(int port, int callers, Request request) throws IOException {
        byte[] bytes = request.bytes();
        for (int i = 0; i < callers; i++) {
            connect(port, ByteBuffer.wrap(bytes));
        }
        int idleRounds = 0;
        while (idleRounds < MAX_IDLE_ROUNDS && !isSent()) {
            if (sendRound()) {
                idleRounds = 0;
            } else {
                idleRounds++;
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLISECONDS));
            }
        }
    }

    private void connect(int port, ByteBuffer bytes) throws IOException {
        SocketChannel channel = SocketChannel.open();
        mCallers.add(new Caller(channel, bytes));
        try {
            channel.socket()
                    .connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                            CONNECT_TIMEOUT_MILLISECONDS);
            channel.configureBlocking(false);
        } catch (IOException refused) {
            channel.close();
        }
    }

    private boolean isSent() {
        return mCallers.stream()
                .allMatch(caller -> !caller.channel().isOpen() || !caller.rest().hasRemaining());
    }

    private boolean sendRound() throws IOException {
        boolean sent = false;
        for (Caller caller : mCallers) {
            sent |= caller.sendPiece();
        }
        return sent;
    }

    @Override
    public void close() throws IOException {
        for (Caller caller : mCallers) {
            caller.channel().close();
        }
    }
}
