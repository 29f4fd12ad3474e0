import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas that fail answer some requests with 503 and no Skylarkbend-Not-Executed, after they have
 * begun to work on them. The system must not hand that status on as the promise that it is from it.
 */
final class RunAndBusy {
    private static final int BOOKINGS = 200;
    private static final int FAILED_IN_100 = 40;

    private RunAndBusy() {}

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
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        Map<String, Integer> runsOfBookings = new ConcurrentHashMap<>();
        AtomicInteger count = new AtomicInteger();
        int port = Site.freePort();
        for (int i = 0; i < 3; i++) {
            String id = "i-7f3a91c" + i;
            boolean isFailing = trouble && i == 0;
            Site.Replica replica =
                    site.new Replica(
                            "127.0.0." + (31 + i),
                            port,
                            (request, channel) -> {
                                if (Sample.serveProbe(request, channel, id)) {
                                    return;
                                }
                                String requestId = request.header("skylarkbend-request-id");
                                runs.merge(requestId, 1, Integer::sum);
                                runsOfBookings.merge(request.path, 1, Integer::sum);
                                Thread.sleep(20);
                                boolean fails =
                                        isFailing && count.incrementAndGet() % 100 < FAILED_IN_100;
                                site.record(id + " has run " + requestId + " " + request.path + (fails ? ", answers 503" : ", answers 200"));
                                channel.answer(fails ? 503 : 200, Sample.sealed(request), fails ? "failed" : "booked");
                            });
            replica.start();
            site.list(id, "order-hub", replica.address(), "thies-nord", 6, "");
        }
        site.start(3, 1, Sample.orders(1));
        Site.Machine front = site.fronts.get(0);
        Map<Integer, Integer> statuses = new TreeMap<>();
        int broken = 0;
        for (int i = 0; i < BOOKINGS; i++) {
            String booking = "/book/slot-" + i;
            for (int attempt = 1; attempt <= 2; attempt++) {
                String requestId = "b" + i + "-" + attempt;
                int status;
                try {
                    status =
                            Http.call(
                                            front.ip,
                                            site.frontPort,
                                            "POST",
                                            booking,
                                            Sample.headers(requestId, 1_000),
                                            "{\"slot\":" + i + "}",
                                            1_500)
                                    .status;
                } catch (IOException e) {
                    status = 0;
                }
                statuses.merge(status, 1, Integer::sum);
                boolean promised = status == 503 || status == 429 || status == 408 || status == 421;
                int ran = runs.getOrDefault(requestId, 0);
                site.record("client " + requestId + " " + booking + " -> " + status + ", run " + ran + " times");
                if (promised && ran > 0) {
                    broken++;
                    site.record("BROKEN: " + requestId + " was answered " + status + " and has run");
                }
                if (!promised) {
                    break;
                }
                Thread.sleep(50);
            }
        }
        long twice = runsOfBookings.values().stream().filter(times -> times > 1).count();
        System.out.println(
                "answers " + statuses + "; answered 503, 429, 408 or 421 though run: " + broken
                        + "; bookings made twice by clients that trusted the status: " + twice);
        return broken > 0 ? 1 : 0;
    }
}
