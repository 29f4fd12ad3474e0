import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An isolated tenant and another one send prompts with the same parts, some without
 * Skylarkbend-Token-Usage. The replicas keep parts under Skylarkbend-Cache-Salt. Checks that no
 * request uses parts that the other tenant's requests made.
 */
final class OtherTenantsCache {
    private static final int REPLICAS = 2;
    private static final int ROUNDS = 20;
    private static final String SHARED_BY_ALL = "(absent)";

    private static final String TENANT =
            "{\"Name\":\"%s\",\"ApiKeys\":[\"%s\"],\"Priority\":1,\"Unit\":\"tokens\","
                    + "\"PlainTokens\":200,\"Isolated\":%s,\"RatePerS\":86374,\"Burst\":86374}";

    private static final String CONFIG =
            "{\"Version\":7,\"Routes\":[{\"Name\":\"r-review\",\"Host\":\"desk.example\","
                    + "\"PathPrefix\":\"/review/\",\"Kind\":\"streaming\",\"TimeoutMs\":6000,"
                    + "\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"lm-desk\","
                    + "\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,"
                    + "\"GapAimMs\":400}],\"Services\":[{\"Name\":\"lm-desk\",\"HealthPath\":"
                    + "\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,"
                    + "\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":97057,\"KvTokenBytes\":163840,"
                    + "\"LinkMbps\":130000.0,\"MaxConcurrency\":12,\"Models\":[{\"Name\":\"m0\"}]}}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":["
                    + String.format(TENANT, "sese880", "wu3fexd9dnn2ctnfzs98", "true") + ","
                    + String.format(TENANT, "kobi114", "9anu6wsjnbanfqasnmgk", "false") + "]}";

    private final Site mSite;
    private final AtomicInteger mForeign = new AtomicInteger();
    private final AtomicInteger mRuns = new AtomicInteger();

    private OtherTenantsCache(Site site) {
        mSite = site;
    }

    public static void main(String[] arguments) {
        Site.run(arguments[0], site -> new OtherTenantsCache(site).run());
    }

    private int run() throws Exception {
        mSite.startList();
        for (int number = 1; number <= REPLICAS; number++) {
            Map<String, String> tenantByPart = new HashMap<>();
            String id = "i-" + number;
            Site.Server server =
                    mSite.startReplica(
                            number,
                            (request, out, socket) -> {
                                use(id, request, tenantByPart);
                                stream(request, out);
                                return true;
                            });
            mSite.list(
                    id,
                    "lm-desk",
                    server,
                    64,
                    ",\"Stage\":\"unified\",\"Models\":[{\"Name\":\"m0\",\"Version\":1,"
                            + "\"Adapters\":[]}]");
        }
        for (int number = 1; number <= 3; number++) {
            mSite.startCore(number, true, 3);
        }
        mSite.startFront(1, 3);
        Site.Message published = mSite.operate("PUT", "/api/config", CONFIG, 3, 15_000);
        if (published == null || published.status() != 200 || !mSite.awaitReady(1, 15_000)) {
            return Site.NOT_RUN;
        }
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            served += request("wu3fexd9dnn2ctnfzs98", round);
            served += request("9anu6wsjnbanfqasnmgk", round);
        }
        mSite.record("served " + served + ", run " + mRuns
                + ", parts of another tenant used " + mForeign + " times");
        if (served < ROUNDS) {
            return Site.NOT_RUN;
        }
        return mForeign.get() > 0 ? Site.BROKEN : Site.HELD;
    }

    private int request(String key, int round) throws Exception {
        String id = Site.uniqueId();
        String headers =
                "Host: desk.example\r\nSkylarkbend-Request-Id: " + id
                        + "\r\nSkylarkbend-Deadline-Ms: 6000\r\nAuthorization: Bearer " + key
                        + "\r\nSkylarkbend-Model: m0\r\n"
                        + (Site.trouble() ? "" : "Skylarkbend-Token-Usage: 1460,80\r\n")
                        + "Skylarkbend-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
                        + id.substring(8) + ":250\r\n";
        Site.Message got =
                mSite.request(
                        mSite.frontHost(1),
                        mSite.frontPort(),
                        "POST",
                        "/review/2f",
                        headers,
                        "round " + round,
                        7_000);
        Site.message(mSite, "request " + id, got);
        return got != null && got.status() == 200 ? 1 : 0;
    }

    /**
     * Finds a part if all parts before it were found too, under the same salt. The last part
     * belongs to the request itself.
     */
    private synchronized void use(
            String replica, Site.Message request, Map<String, String> tenantByPart) {
        mRuns.incrementAndGet();
        String salt =
                request.headers().getOrDefault("skylarkbend-cache-salt", SHARED_BY_ALL);
        String tenant = request.header("Skylarkbend-Tenant-Id");
        List<String> foreign = new ArrayList<>();
        boolean finds = true;
        for (String entry : request.header("Skylarkbend-Prompt-Prefix").split(",")) {
            String part = salt + " " + request.header("Skylarkbend-Model") + " " + entry;
            finds &= tenantByPart.containsKey(part);
            if (finds && !tenantByPart.get(part).equals(tenant)) {
                foreign.add(entry + " made for " + tenantByPart.get(part));
            }
            tenantByPart.putIfAbsent(part, tenant);
        }
        mForeign.addAndGet(foreign.isEmpty() ? 0 : 1);
        mSite.record("replica " + replica + " runs " + request.header("Skylarkbend-Request-Id")
                + " of " + tenant + ", salt " + salt
                + (foreign.isEmpty() ? "" : ", uses " + String.join(" and ", foreign)));
    }

    private static void stream(Site.Message request, OutputStream out) throws Exception {
        StringBuilder text = new StringBuilder();
        text.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        text.append("Skylarkbend-Weight-Versions: 1\r\n").append(Site.sealed(request));
        text.append("Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 5; event++) {
            String data = "id: " + event + "\ndata: some words\n\n";
            text.append(Integer.toHexString(data.length())).append("\r\n");
            text.append(data).append("\r\n");
        }
        text.append("0\r\n\r\n");
        out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
