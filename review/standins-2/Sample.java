import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Configs, replicas and requests that the cases share. */
final class Sample {
    static final String ORDERS =
            "{\"Name\":\"order-hub\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,"
                    + "\"Protocol\":\"h1\",\"Tls\":false}";
    static final String LIMITS =
            "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                    + "\"IdleTimeoutMs\":15000}";

    private Sample() {}

    static String route(
            String name, String prefix, String kind, String service, int timeoutMs, int targetMs, String more) {
        return String.format(
                Locale.ROOT,
                "{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"%s\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"
                        + "\"TargetLatencyMs\":%d,\"Priority\":2,\"Service\":\"%s\",\"Public\":false%s}",
                name, Site.HOST, prefix, kind, timeoutMs, targetMs, service, more);
    }

    static String config(int version, String routes, String services, String tenants) {
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services
                + "],\"Limits\":" + LIMITS + ",\"Tenants\":[" + tenants + "]}";
    }

    static String tenant(String name, String key) {
        return "{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + key
                + "\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"Isolated\":false}";
    }

    /** A config with an unsafe and a safe route to one service. */
    static String orders(int version) {
        return config(
                version,
                route("r-book", "/book/", "unsafe", "order-hub", 1_000, 100, ",\"MaxAttempts\":2")
                        + ","
                        + route("r-stock", "/stock/", "safe", "order-hub", 1_000, 100, ",\"MaxAttempts\":2"),
                ORDERS,
                tenant("sese880", Site.KEY));
    }

    static Map<String, String> headers(String id, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.HOST);
        headers.put("Authorization", "Bearer " + Site.KEY);
        headers.put("Skylarkbend-Request-Id", id);
        headers.put("Skylarkbend-Deadline-Ms", Integer.toString(deadlineMs));
        return headers;
    }

    static Map<String, String> sealed(Http.Request request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Skylarkbend-Request-Id", String.valueOf(request.header("skylarkbend-request-id")));
        headers.put("Skylarkbend-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
        return headers;
    }

    /** Answers what a sound replica answers beside the requests of clients. Returns whether it did. */
    static boolean serveProbe(Http.Request request, Site.Replica.Channel channel, String id) throws Exception {
        if (request.path.equals("/healthz")) {
            channel.answer(200, Map.of("Skylarkbend-Instance-Id", id), "");
            return true;
        }
        String expected = request.header("skylarkbend-expect-instance");
        if (expected != null && !expected.equals(id)) {
            channel.answer(421, Map.of("Skylarkbend-Not-Executed", "1"), "");
            return true;
        }
        return false;
    }
}
