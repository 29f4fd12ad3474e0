import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator isolates a tenant by a change of the config. From then on no other tenant's request
 * may use cached parts that the isolated tenant's requests made.
 */
final class WallRaised {
    private static final String OTHER_KEY = "9anu6wsjnbanfqasnmgk";
    private static final int REQUESTS = 20;
    private static final long CONFIG_APPLY_MILLISECONDS = 2_000;

    private WallRaised() {}

    /** The cache of a replica: chains of parts under a salt, each with the tenant that made it. */
    private static final class Cache {
        private final Map<String, String> makers = new ConcurrentHashMap<>();

        /** Reads a prompt, and returns how many of its parts another tenant has made. */
        int read(String salt, String tenant, String prefix) {
            int foreign = 0;
            StringBuilder chain = new StringBuilder(salt);
            boolean isCached = true;
            for (String part : prefix.split(",")) {
                chain.append('/').append(part);
                String maker = makers.get(chain.toString());
                isCached &= maker != null;
                if (isCached && !maker.equals(tenant)) {
                    foreign++;
                }
                makers.putIfAbsent(chain.toString(), tenant);
            }
            return foreign;
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
        AtomicInteger foreign = new AtomicInteger();
        int port = Site.freePort();
        for (int i = 0; i < 2; i++) {
            String id = "i-7f3a91c" + i;
            Cache cache = new Cache();
            Site.Replica replica =
                    site.new Replica(
                            "127.0.0." + (31 + i),
                            port,
                            (request, channel) -> {
                                if (Sample.serveProbe(request, channel, id)) {
                                    return;
                                }
                                if (request.path.equals("/api/report")) {
                                    channel.answer(200, Map.of("Content-Type", "application/json"), report());
                                    return;
                                }
                                String salt = String.valueOf(request.header("skylarkbend-cache-salt"));
                                String tenant = request.header("skylarkbend-tenant-id");
                                int parts = cache.read(salt, tenant, request.header("skylarkbend-prompt-prefix"));
                                foreign.addAndGet(parts);
                                site.record(
                                        id + " runs " + request.header("skylarkbend-request-id") + " of " + tenant
                                                + " under the salt " + salt + ", parts of another tenant used: " + parts);
                                stream(request, channel);
                            });
            replica.start();
            site.list(
                    id,
                    "lm-desk",
                    replica.address(),
                    "thies-nord",
                    64,
                    ",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"daka510000\",\"Version\":1,\"Adapters\":[]}]");
        }
        site.start(3, 1, config(1, !trouble));
        Site.Machine front = site.fronts.get(0);
        int served = send(site, front, "a", Site.KEY);
        site.publish(config(2, true), 10_000);
        Thread.sleep(2 * CONFIG_APPLY_MILLISECONDS);
        site.record("sese880 has been isolated for longer than ConfigApplyMs");
        foreign.set(0);
        served += send(site, front, "b", OTHER_KEY);
        System.out.println(
                "served " + served + " of " + 2 * REQUESTS + "; parts made by the isolated tenant that requests of"
                        + " another tenant used after the change: " + foreign);
        if (served < 2 * REQUESTS) {
            return 2;
        }
        return foreign.get() > 0 ? 1 : 0;
    }

    private static int send(Site site, Site.Machine front, String name, String key) throws Exception {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = name + i;
            Map<String, String> headers = Sample.headers(id, 6_000);
            headers.put("Authorization", "Bearer " + key);
            headers.put("Skylarkbend-Model", "daka510000");
            headers.put("Skylarkbend-Token-Usage", "9190,17");
            headers.put(
                    "Skylarkbend-Prompt-Prefix",
                    "5c1e07a2:4000,91bd3f06:2300," + Integer.toHexString(id.hashCode()) + ":2890");
            Http.Answer answer =
                    Http.call(front.ip, site.frontPort, "POST", "/spec/" + id, headers, "{}", 7_000);
            served += answer.status == 200 ? 1 : 0;
        }
        return served;
    }

    private static String config(int version, boolean isIsolated) {
        String isolated = Sample.tenant("sese880", Site.KEY);
        return Sample.config(
                version,
                Sample.route(
                        "r-spec",
                        "/spec/",
                        "streaming",
                        "lm-desk",
                        6_000,
                        800,
                        ",\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":400"),
                "{\"Name\":\"lm-desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\","
                        + "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":97057,\"KvTokenBytes\":163840,"
                        + "\"LinkMbps\":130000.0,\"MaxConcurrency\":12,\"Models\":[{\"Name\":\"daka510000\"}]}}",
                (isIsolated ? isolated.replace("\"Isolated\":false", "\"Isolated\":true") : isolated)
                        + ","
                        + Sample.tenant("kula412", OTHER_KEY));
    }

    private static String report() {
        return "{\"Stage\":\"unified\",\"Models\":[{\"Name\":\"daka510000\",\"Version\":1,\"Adapters\":[]}],"
                + "\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":97057,\"Handles\":0}";
    }

    private static void stream(Http.Request request, Site.Replica.Channel channel) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        Sample.sealed(request).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Skylarkbend-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        channel.write(head.toString());
        for (int event = 1; event <= 3; event++) {
            String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            channel.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        channel.write("0\r\n\r\n");
    }
}
