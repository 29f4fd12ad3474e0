import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator makes some hundred changes of a config with many routes, one after the other. Then
 * all core processes are killed at the same moment and are back within a second. Checks that the
 * newest acknowledged config is read back.
 */
final class ManyChanges {
    private static final int CORES = 5;
    private static final int SEEDS = 3;
    private static final int FIRST_ROUTES = 8;

    /** `big_config` in the site file. */
    private static final int MORE_ROUTES = 1_400;

    private static final int CHANGES = 350;

    /** A platform starts a process that has ended again after a short delay. */
    private static final long RESTART_AFTER_MILLISECONDS = 800;

    private static final long CHANGES_UNTIL_MILLISECONDS = 75_000;
    private static final long READ_FOR_MILLISECONDS = 20_000;

    private ManyChanges() {}

    public static void main(String[] arguments) {
        Site.run(arguments[0], ManyChanges::run);
    }

    private static int run(Site site) throws Exception {
        site.startList();
        Site.Server server =
                site.startReplica(
                        1,
                        (request, out, socket) -> {
                            Site.answer(out, 200, Site.sealed(request), "in stock");
                            return true;
                        });
        site.list("i-1", "order-hub", server, 6, "");
        for (int number = 1; number <= CORES; number++) {
            site.startCore(number, true, SEEDS);
        }
        int routes = FIRST_ROUTES + MORE_ROUTES;
        int version = 7;
        Site.message(
                site,
                "config " + version + " with " + FIRST_ROUTES + " routes",
                site.operate("PUT", "/api/config", config(version, FIRST_ROUTES), CORES, 20_000));
        String acknowledged = "";
        int changes = 0;
        while (changes < CHANGES && site.milliseconds() < CHANGES_UNTIL_MILLISECONDS) {
            version += 3;
            String sent = config(version, routes);
            Site.Message got = site.operate("PUT", "/api/config", sent, CORES, 10_000);
            Site.message(site, "config " + version + ", " + sent.length() + " bytes", got);
            if (got == null || got.status() != 200) {
                return Site.NOT_RUN;
            }
            acknowledged = sent;
            changes++;
        }
        site.record("changes acknowledged: " + changes);
        for (int number = 1; number <= CORES; number++) {
            site.record("core-" + number + ": log of "
                    + Files.size(site.temp.resolve("data-core-" + number).resolve("log"))
                    + " bytes");
        }
        if (Site.trouble()) {
            restartAll(site);
        }
        Site.Message read = site.operate("GET", "/api/config", "", CORES, READ_FOR_MILLISECONDS);
        boolean isNewest = read != null && read.text().equals(acknowledged);
        Site.message(site, "read back", read);
        site.record("the newest acknowledged config is read back: " + isNewest);
        for (int number = 1; number <= CORES; number++) {
            String name = "core-" + number;
            site.record(name + " runs: " + site.running.get(name).isAlive());
            List<String> errors = new ArrayList<>();
            site.log(name).lines().filter(line -> line.contains("event=core.failed"))
                    .forEach(errors::add);
            errors.forEach(line -> site.record(name + " wrote: " + line));
        }
        return isNewest ? Site.HELD : Site.BROKEN;
    }

    /** Kills all core processes. The platform starts them again, also after they end by themselves. */
    private static void restartAll(Site site) throws Exception {
        for (int number = 1; number <= CORES; number++) {
            site.running.get("core-" + number).destroyForcibly();
        }
        for (int number = 1; number <= CORES; number++) {
            site.running.get("core-" + number).waitFor();
        }
        site.record("all core processes are killed");
        Site.sleep(RESTART_AFTER_MILLISECONDS);
        for (int number = 1; number <= CORES; number++) {
            site.startCore(number, false, SEEDS);
        }
        Site.sleep(5_000);
        for (int number = 1; number <= CORES; number++) {
            Process process = site.running.get("core-" + number);
            if (!process.isAlive()) {
                site.record("core-" + number + " has ended by itself with " + process.exitValue());
                site.startCore(number, false, SEEDS);
            }
        }
    }

    private static String config(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i > 0 ? "," : "").append("{\"Name\":\"r-").append(i);
            text.append("\",\"Host\":\"hub").append(i).append(".example\",\"PathPrefix\":\"/stock/");
            text.append(i).append("/\",\"Kind\":\"safe\",\"TimeoutMs\":").append(1_000 + version);
            text.append(",\"TargetLatencyMs\":121,\"Priority\":2,\"Service\":\"order-hub\",");
            text.append("\"MaxAttempts\":2,\"Public\":true,\"Sticky\":false,\"Resumable\":false,");
            text.append("\"GapAimMs\":0}");
        }
        return text
                + "],\"Services\":[{\"Name\":\"order-hub\",\"HealthPath\":\"/healthz\","
                + "\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{"
                + "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},\"Tenants\":[]}";
    }
}
