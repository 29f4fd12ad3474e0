import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some replicas answer a few of their requests with bytes without end. Checks that requests are
 * answered at the TimeoutMs of their route.
 */
final class EndlessBodies {
    private static final int REPLICAS = 12;
    private static final int TIMEOUT_MILLISECONDS = 15_000;
    private static final int LATEST_ANSWER_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;

    /**
     * The dose of `garble`, `unframed` in the site file: half of the replicas (the default share),
     * 0.05 of their answers.
     */
    private static final int SPOILING_REPLICAS = 6;

    private static final double SPOILED_SHARE = 0.1;

    /** Requests a second: those of the site's two streaming kinds together (14.1 and 24.9). */
    private static final double REQUESTS_PER_SECOND = 39.0;

    private static final long TRAFFIC_MILLISECONDS = 60_000;
    private static final long TROUBLE_AT_MILLISECONDS = 5_000;
    private static final long TROUBLE_FOR_MILLISECONDS = 40_000;

    /** 32 KiB each 30 ms: a little over 1 MB a second. */
    private static final int PIECE_BYTES = 32 * 1024;

    private static final long PIECE_MILLISECONDS = 30;

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
    private final Random mRandom = new Random(7);
    private final AtomicInteger mSent = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mRun = new AtomicInteger();
    private final AtomicInteger mSpoiled = new AtomicInteger();
    private final AtomicInteger mUnansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger mUnansweredLater = new AtomicInteger();
    private volatile boolean mTrouble;

    private EndlessBodies(Site site) {
        mSite = site;
    }

    public static void main(String[] arguments) {
        Site.run(arguments[0], site -> new EndlessBodies(site).run());
    }

    private int run() throws Exception {
        mSite.startList();
        for (int number = 1; number <= REPLICAS; number++) {
            boolean spoils = number <= SPOILING_REPLICAS;
            Site.Server server =
                    mSite.startReplica(
                            number,
                            (request, out, socket) -> {
                                answer(request, out, spoils);
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
        sendTraffic();
        Site.sleep(TIMEOUT_MILLISECONDS + 2_000);
        mSite.record("front-1 runs: " + front.isAlive());
        mSite.record("requests sent: " + mSent + ", run by replicas: " + mRun);
        mSite.record("answers without end begun by replicas: " + mSpoiled);
        mSite.record("requests answered in time: " + mAnswered);
        mSite.record("unanswered at TimeoutMs: " + mUnansweredAtTimeout);
        mSite.record("unanswered 0.5 s after TimeoutMs: " + mUnansweredLater);
        boolean isBroken =
                mUnansweredLater.get() >= 8
                        && 2 * mUnansweredLater.get() > mUnansweredAtTimeout.get();
        return isBroken ? Site.BROKEN : Site.HELD;
    }

    private void sendTraffic() {
        long beganMilliseconds = mSite.milliseconds();
        double nextMilliseconds = 0;
        while (mSite.milliseconds() - beganMilliseconds < TRAFFIC_MILLISECONDS) {
            long elapsed = mSite.milliseconds() - beganMilliseconds;
            boolean trouble =
                    Site.trouble()
                            && elapsed >= TROUBLE_AT_MILLISECONDS
                            && elapsed < TROUBLE_AT_MILLISECONDS + TROUBLE_FOR_MILLISECONDS;
            if (trouble != mTrouble) {
                mSite.record(trouble ? "trouble begins" : "trouble ends");
                mTrouble = trouble;
            }
            if (elapsed >= nextMilliseconds) {
                nextMilliseconds += 1_000 / REQUESTS_PER_SECOND;
                Site.daemon(this::request);
            } else {
                Site.sleep(2);
            }
        }
    }

    private void request() {
        String id = Site.uniqueId();
        int subject;
        synchronized (mRandom) {
            subject = mRandom.nextInt(230);
        }
        String headers =
                "Host: desk.example\r\nSkylarkbend-Request-Id: " + id
                        + "\r\nSkylarkbend-Deadline-Ms: 17000\r\nSkylarkbend-Model: m0\r\n"
                        + "Skylarkbend-Token-Usage: 826,97\r\nSkylarkbend-Prompt-Prefix: "
                        + String.format(Locale.ROOT, "5c%06x:198,%s:628\r\n", subject, id);
        mSent.incrementAndGet();
        long beganMilliseconds = mSite.milliseconds();
        String end;
        try {
            Site.Message got =
                    mSite.request(
                            mSite.frontHost(1),
                            mSite.frontPort(),
                            "POST",
                            "/reply/2f",
                            headers,
                            "draft",
                            LATEST_ANSWER_MILLISECONDS);
            end = got == null ? "channel closed" : "status " + got.status();
        } catch (java.net.SocketTimeoutException e) {
            end = "nothing";
        } catch (java.io.IOException e) {
            end = "channel closed: " + e.getMessage();
        }
        long tookMilliseconds = mSite.milliseconds() - beganMilliseconds;
        mSite.record("request " + id + " got " + end + " after " + tookMilliseconds + " ms");
        if (tookMilliseconds >= TIMEOUT_MILLISECONDS) {
            mUnansweredAtTimeout.incrementAndGet();
        }
        if (end.equals("nothing")) {
            mUnansweredLater.incrementAndGet();
        } else {
            mAnswered.incrementAndGet();
        }
    }

    private void answer(Site.Message request, OutputStream out, boolean spoils) throws Exception {
        mRun.incrementAndGet();
        boolean spoil;
        synchronized (mRandom) {
            spoil = mTrouble && spoils && mRandom.nextDouble() < SPOILED_SHARE;
        }
        if (spoil) {
            mSpoiled.incrementAndGet();
            mSite.record("endless answer to " + request.header("Skylarkbend-Request-Id"));
            write(out, "HTTP/1.1 500 X\r\n" + Site.sealed(request) + "\r\n");
            byte[] piece = new byte[PIECE_BYTES];
            while (true) {
                out.write(piece);
                Site.sleep(PIECE_MILLISECONDS);
            }
        }
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Skylarkbend-Weight-Versions: 1\r\n" + Site.sealed(request)
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 30; event++) {
            Site.sleep(30);
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
