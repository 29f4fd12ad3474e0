import java.util.concurrent.atomic.AtomicInteger;

/**
 * A core machine is killed while the system starts for the first time, and is back a second later
 * with its disk. Checks that a config is acknowledged and that requests are served.
 */
final class FirstStart {
    private static final int CORES = 5;
    private static final int SEEDS = 3;
    private static final int KILLED_CORE = 2;
    private static final long KILL_AFTER_MILLISECONDS = 500;
    private static final long RESTART_AFTER_MILLISECONDS = 1_000;
    private static final long OPERATOR_TRIES_MILLISECONDS = 60_000;
    private static final int REQUESTS = 20;

    private static final String CONFIG =
            "{\"Version\":7,\"Routes\":[{\"Name\":\"r-stock\",\"Host\":\"hub.example\","
                    + "\"PathPrefix\":\"/stock/\",\"Kind\":\"safe\",\"TimeoutMs\":1000,"
                    + "\"TargetLatencyMs\":121,\"Priority\":2,\"Service\":\"order-hub\","
                    + "\"MaxAttempts\":2,\"Public\":true,\"Sticky\":false,\"Resumable\":false,"
                    + "\"GapAimMs\":0}],\"Services\":[{\"Name\":\"order-hub\",\"HealthPath\":"
                    + "\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";

    private FirstStart() {}

    public static void main(String[] arguments) {
        Site.run(arguments[0], FirstStart::run);
    }

    private static int run(Site site) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        site.startList();
        for (int number = 1; number <= 3; number++) {
            Site.Server server =
                    site.startReplica(
                            number,
                            (request, out, socket) -> {
                                runs.incrementAndGet();
                                Site.answer(out, 200, Site.sealed(request), "in stock");
                                return true;
                            });
            site.list("i-" + number, "order-hub", server, 6, "");
        }
        for (int number = 1; number <= CORES; number++) {
            site.startCore(number, true, SEEDS);
        }
        for (int number = 1; number <= 2; number++) {
            site.startFront(number, SEEDS);
        }
        if (Site.trouble()) {
            Site.sleep(KILL_AFTER_MILLISECONDS);
            Process killed = site.running.get("core-" + KILLED_CORE);
            if (!killed.isAlive()) {
                return Site.NOT_RUN;
            }
            Site.signal(killed, "KILL");
            killed.waitFor();
            site.record("killed core-" + KILLED_CORE);
            Site.sleep(RESTART_AFTER_MILLISECONDS);
            // Bootstrap is true only when the whole system starts for the first time.
            site.startCore(KILLED_CORE, false, SEEDS);
        }
        Site.message(
                site,
                "config",
                site.operate("PUT", "/api/config", CONFIG, CORES, OPERATOR_TRIES_MILLISECONDS));
        for (int number = 1; number <= CORES; number++) {
            site.record("core-" + number + " runs: " + site.running.get("core-" + number).isAlive());
        }
        int served = 0;
        site.awaitReady(1, 5_000);
        for (int i = 0; i < REQUESTS; i++) {
            Site.Message got =
                    site.request(
                            site.frontHost(1),
                            site.frontPort(),
                            "GET",
                            "/stock/2f",
                            "Host: hub.example\r\nSkylarkbend-Request-Id: " + Site.uniqueId()
                                    + "\r\nSkylarkbend-Deadline-Ms: 1000\r\n",
                            "",
                            1_500);
            Site.message(site, "request " + (i + 1), got);
            served += got != null && got.status() == 200 ? 1 : 0;
        }
        site.record("requests served: " + served + " of " + REQUESTS + ", run: " + runs);
        return served == 0 ? Site.BROKEN : Site.HELD;
    }
}
