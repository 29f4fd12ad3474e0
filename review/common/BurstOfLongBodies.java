import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies just under MaxBodyBytes; for three seconds there are 1.7 times as many of
 * them. Checks that requests are answered at the TimeoutMs of their route.
 */
final class BurstOfLongBodies {
    private static final int REPLICAS = 4;
    private static final int TIMEOUT_MILLISECONDS = 6_000;
    private static final int LATEST_ANSWER_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;
    private static final int USUAL_CLIENTS = 28;
    private static final double BURST_FACTOR = 1.7;
    private static final long BURST_AT_MILLISECONDS = 8_000;
    private static final long BURST_FOR_MILLISECONDS = 3_000;
    private static final long TRAFFIC_MILLISECONDS = 45_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final int EVENTS = 20;
    private static final long EVENT_MILLISECONDS = 100;
    private static final long PAUSE_MILLISECONDS = 300;

    /** A client's link: 100 Mbit/s. */
    private static final int PIECE_BYTES = 125_000;

    private static final long PIECE_MILLISECONDS = 10;

    private static final String CONFIG =
            "{\"Version\":7,\"Routes\":[{\"Name\":\"r-reply\",\"Host\":\"desk.example\","
                    + "\"PathPrefix\":\"/reply/\",\"Kind\":\"streaming\",\"TimeoutMs\":"
                    + TIMEOUT_MILLISECONDS
                    + ",\"TargetLatencyMs\":1000,\"Priority\":0,\"Service\":\"lm-desk\","
                    + "\"MaxAttempts\":1,\"Public\":true,\"Sticky\":true,\"Resumable\":false,"
                    + "\"GapAimMs\":400}],\"Services\":[{\"Name\":\"lm-desk\",\"HealthPath\":"
                    + "\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,"
                    + "\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":97057,\"KvTokenBytes\":163840,"
                    + "\"LinkMbps\":130000.0,\"MaxConcurrency\":12,\"Models\":[{\"Name\":\"m0\"}]}}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";

    private final Site mSite;
    private final AtomicInteger mRuns = new AtomicInteger();

    /** Requests: sent, answered with success, late at TimeoutMs, late half a second later. */
    private final Counts mAll = new Counts();

    private final Counts mAfterBurst = new Counts();

    private static final class Counts {
        private final AtomicInteger mSent = new AtomicInteger();
        private final AtomicInteger mServed = new AtomicInteger();
        private final AtomicInteger mLate = new AtomicInteger();
        private final AtomicInteger mUnanswered = new AtomicInteger();

        @Override
        public String toString() {
            return "sent " + mSent + ", served " + mServed + ", unanswered at TimeoutMs " + mLate
                    + ", unanswered 0.5 s later " + mUnanswered;
        }
    }

    private BurstOfLongBodies(Site site) {
        mSite = site;
    }

    public static void main(String[] arguments) {
        Site.run(arguments[0], site -> new BurstOfLongBodies(site).run());
    }

    private int run() throws Exception {
        mSite.startList();
        for (int number = 1; number <= REPLICAS; number++) {
            Site.Server server =
                    mSite.startReplica(
                            number,
                            (request, out, socket) -> {
                                stream(request, out);
                                return true;
                            });
            mSite.list(
                    "i-" + number,
                    "lm-desk",
                    server,
                    64,
                    ",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,"
                            + "\"Adapters\":[]}]");
        }
        for (int number = 1; number <= 3; number++) {
            mSite.startCore(number, true, 3);
        }
        Process front = mSite.startFront(1, 3);
        Site.Message published = mSite.operate("PUT", "/api/config", CONFIG, 3, 15_000);
        if (published == null || published.status() != 200 || !mSite.awaitReady(1, 15_000)) {
            return Site.NOT_RUN;
        }
        mSite.record("the config is acknowledged, front-1 is ready");
        long beganMilliseconds = mSite.milliseconds();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            clients.add(
                    Site.daemon(
                            () -> client(beganMilliseconds, TRAFFIC_MILLISECONDS)));
            Site.sleep(100);
        }
        Site.sleep(BURST_AT_MILLISECONDS - (mSite.milliseconds() - beganMilliseconds));
        if (Site.trouble()) {
            mSite.record("burst begins");
            int more = (int) Math.round(USUAL_CLIENTS * (BURST_FACTOR - 1));
            for (int i = 0; i < more; i++) {
                clients.add(
                        Site.daemon(
                                () ->
                                        client(
                                                beganMilliseconds,
                                                BURST_AT_MILLISECONDS + BURST_FOR_MILLISECONDS)));
                Site.sleep(50);
            }
        }
        for (Thread client : clients) {
            client.join(TRAFFIC_MILLISECONDS + 15_000);
        }
        mSite.record("front-1 runs: " + front.isAlive() + ", run by replicas: " + mRuns);
        mSite.record("front-1 says that it is ready: " + mSite.awaitReady(1, 3_000));
        mSite.record("all requests: " + mAll);
        mSite.record("requests sent from 5 s after the burst on: " + mAfterBurst);
        boolean isBroken =
                mAll.mUnanswered.get() >= 8
                        && 2 * mAll.mUnanswered.get() > mAll.mLate.get();
        return isBroken ? Site.BROKEN : Site.HELD;
    }

    private void client(long beganMilliseconds, long untilMilliseconds) {
        while (mSite.milliseconds() - beganMilliseconds < untilMilliseconds) {
            long at = mSite.milliseconds() - beganMilliseconds;
            long calmAt = BURST_AT_MILLISECONDS + BURST_FOR_MILLISECONDS + 5_000;
            request(at >= calmAt ? mAfterBurst : new Counts());
            Site.sleep(PAUSE_MILLISECONDS);
        }
    }

    private void request(Counts afterBurst) {
        String id = Site.uniqueId();
        long beganMilliseconds = mSite.milliseconds();
        String end;
        try {
            end = send(id, beganMilliseconds);
        } catch (SocketTimeoutException e) {
            end = "nothing";
        } catch (IOException e) {
            end = "channel ended: " + e.getMessage();
        }
        long tookMilliseconds = mSite.milliseconds() - beganMilliseconds;
        mSite.record("request " + id + " got " + end + " after " + tookMilliseconds + " ms");
        for (Counts counts : List.of(mAll, afterBurst)) {
            counts.mSent.incrementAndGet();
            counts.mServed.addAndGet(end.equals("status 200") ? 1 : 0);
            counts.mLate.addAndGet(tookMilliseconds >= TIMEOUT_MILLISECONDS ? 1 : 0);
            counts.mUnanswered.addAndGet(end.equals("nothing") ? 1 : 0);
        }
    }

    /** Sends one request. The time of the route begins when its body has been sent. */
    private String send(String id, long beganMilliseconds) throws IOException {
        String head =
                "POST /reply/2f HTTP/1.1\r\nHost: desk.example\r\nSkylarkbend-Request-Id: " + id
                        + "\r\nSkylarkbend-Deadline-Ms: 8000\r\nSkylarkbend-Model: m0\r\n"
                        + "Skylarkbend-Token-Usage: 826,97\r\nSkylarkbend-Prompt-Prefix: 5c1e07a2"
                        + ":198," + id + ":628\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mSite.frontHost(1), mSite.frontPort()), 1_000);
            OutputStream out = socket.getOutputStream();
            Thread giveUp =
                    Site.daemon(
                            () -> {
                                Site.sleep(LATEST_ANSWER_MILLISECONDS);
                                close(socket);
                            });
            try {
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                byte[] piece = new byte[PIECE_BYTES];
                for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
                    out.write(piece);
                    Site.sleep(PIECE_MILLISECONDS);
                }
                Site.Message got = Site.readMessage(socket.getInputStream(), false, 0);
                return got == null ? "channel ended" : "status " + got.status();
            } catch (IOException e) {
                long tookMilliseconds = mSite.milliseconds() - beganMilliseconds;
                if (tookMilliseconds >= LATEST_ANSWER_MILLISECONDS) {
                    throw new SocketTimeoutException();
                }
                throw e;
            } finally {
                giveUp.interrupt();
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stream(Site.Message request, OutputStream out) throws Exception {
        mRuns.incrementAndGet();
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Skylarkbend-Weight-Versions: 1\r\n" + Site.sealed(request)
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Site.sleep(EVENT_MILLISECONDS);
            String text = "id: " + event + "\ndata: some words of the draft\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws Exception {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
