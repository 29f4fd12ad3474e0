import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's list holds one entry of another writer, with an unknown service and an Id of bytes
 * that can't be read. New weights are named and acknowledged. All replicas must get them in time.
 */
final class OddEntry {
    private static final int ENGINES = 14;
    private static final int ORDER_REPLICAS = 3;
    private static final long LOAD_MILLISECONDS = 570;
    private static final long VERSION_MILLISECONDS = 8_000;
    private static final long WAIT_MILLISECONDS = 2 * VERSION_MILLISECONDS;
    private static final Pattern VERSION = Pattern.compile("\"Version\"\\s*:\\s*(\\d+)");
    private static final String MODELS =
            ",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"daka510000\",\"Version\":1,\"Adapters\":[]}]";

    private OddEntry() {}

    /** What a replica knows of its weights and orders. */
    private static final class Engine {
        private int version = 1;
        private int orders;
        private int next;
        private long loadedAt;

        synchronized int version() {
            if (next > 0 && System.currentTimeMillis() >= loadedAt) {
                version = next;
                next = 0;
            }
            return version;
        }

        synchronized String report() {
            int now = version();
            return "{\"Stage\":\"unified\",\"Models\":[{\"Name\":\"daka510000\",\"Version\":" + now
                    + ",\"Adapters\":[]}],\"Busy\":" + (next > 0) + ",\"Seq\":" + orders
                    + ",\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":97057,\"Handles\":0}";
        }

        synchronized int order(int wanted) {
            if (wanted <= version()) {
                return 200;
            }
            if (next > 0) {
                return 409;
            }
            orders++;
            next = wanted;
            loadedAt = System.currentTimeMillis() + LOAD_MILLISECONDS;
            return 202;
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Site site = new Site(Path.of(arguments[0]))) {
            status = run(site, trouble);
            site.record("exit " + status);
        } catch (Throwable e) {
            // Also an Error of this driver must not look like a broken rule.
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Map<String, Engine> engines = new TreeMap<>();
        int port = Site.freePort();
        for (int i = 0; i < ENGINES + ORDER_REPLICAS; i++) {
            String id = String.format("i-7f3a9%03d", i);
            boolean isEngine = i < ENGINES;
            Engine engine = new Engine();
            if (isEngine) {
                engines.put(id, engine);
            }
            Site.Replica replica =
                    site.new Replica(
                            "127.0.0." + (31 + i),
                            port,
                            (request, channel) -> {
                                if (Sample.serveProbe(request, channel, id)) {
                                    return;
                                }
                                if (request.path.equals("/api/report")) {
                                    channel.answer(200, Map.of("Content-Type", "application/json"), engine.report());
                                } else if (request.path.equals("/api/order")) {
                                    Matcher version =
                                            VERSION.matcher(new String(request.body, StandardCharsets.UTF_8));
                                    int answer = version.find() ? engine.order(Integer.parseInt(version.group(1))) : 400;
                                    site.record("order to " + id + " -> " + answer);
                                    channel.answer(answer, Map.of(), "");
                                } else {
                                    channel.answer(200, Sample.sealed(request), "done");
                                }
                            });
            replica.start();
            site.list(
                    id,
                    isEngine ? "lm-desk" : "order-hub",
                    replica.address(),
                    "thies-nord",
                    isEngine ? 64 : 6,
                    isEngine ? MODELS : "");
        }
        if (trouble) {
            site.list(
                    "i-\\u0000\\u0000\\u0000\\u0000",
                    "notnamedhere7",
                    "127.0.0.90:" + port,
                    "thies-nord",
                    64,
                    MODELS);
        }
        site.start(3, 1, config());
        Site.Machine front = site.fronts.get(0);
        AtomicBoolean over = new AtomicBoolean();
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        Thread traffic = new Thread(() -> send(site, front, over, statuses));
        traffic.start();
        Thread.sleep(1_000);
        int named =
                site.operator("POST", "/api/version-put", "{\"Model\":\"daka510000\",\"Version\":2}", 10_000).status;
        site.record("version 2 is named -> " + named);
        long until = System.currentTimeMillis() + WAIT_MILLISECONDS;
        while (System.currentTimeMillis() < until) {
            Thread.sleep(1_000);
            site.record("engines on version 2: " + (ENGINES - old(engines)) + " of " + ENGINES);
        }
        over.set(true);
        traffic.join();
        int old = old(engines);
        engines.forEach((id, engine) -> site.record(id + " has version " + engine.version()));
        System.out.println(
                "named with " + named + "; " + old + " of " + ENGINES + " replicas still have the older version after "
                        + WAIT_MILLISECONDS + " ms; answers to the traffic " + new TreeMap<>(statuses));
        return old > 1 && 10 * old > ENGINES ? 1 : 0;
    }

    private static int old(Map<String, Engine> engines) {
        return (int) engines.values().stream().filter(engine -> engine.version() < 2).count();
    }

    private static String config() {
        return Sample.config(
                1,
                Sample.route("r-stock", "/stock/", "safe", "order-hub", 1_000, 100, ",\"MaxAttempts\":2")
                        + ","
                        + Sample.route(
                                "r-spec",
                                "/spec/",
                                "streaming",
                                "lm-desk",
                                6_000,
                                800,
                                ",\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":400"),
                Sample.ORDERS
                        + ",{\"Name\":\"lm-desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\","
                        + "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":97057,\"KvTokenBytes\":163840,"
                        + "\"LinkMbps\":130000.0,\"MaxConcurrency\":12,\"Models\":[{\"Name\":\"daka510000\"}]}}",
                Sample.tenant("sese880", Site.KEY));
    }

    private static void send(
            Site site, Site.Machine front, AtomicBoolean over, Map<Integer, Integer> statuses) {
        for (int i = 0; !over.get(); i++) {
            int status;
            try {
                status =
                        Http.call(
                                        front.ip,
                                        site.frontPort,
                                        "GET",
                                        "/stock/" + i,
                                        Sample.headers("t" + i, 1_000),
                                        "",
                                        1_500)
                                .status;
                Thread.sleep(100);
            } catch (Exception e) {
                status = 0;
            }
            statuses.merge(status, 1, Integer::sum);
        }
    }
}
