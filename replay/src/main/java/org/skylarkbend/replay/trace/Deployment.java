package org.skylarkbend.replay.trace;

import java.util.List;
import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;

/**
 * A deployment for which traffic is generated.
 *
 * @param name name on the command line
 * @param routers number of routers
 * @param engines number of engines, spread over three data centres
 * @param requestsPerSecond mean rate of all customers together
 * @param customerShares share of the requests of each customer
 * @param routes routes and the shape of their requests
 */
record Deployment(
        String name,
        int routers,
        int engines,
        double requestsPerSecond,
        List<Double> customerShares,
        List<RoutePlan> routes) {
    private static final long URGENT_DEADLINE_MILLISECONDS = 10_000;
    private static final long DRAFT_DEADLINE_MILLISECONDS = 60_000;
    private static final long READING_DEADLINE_MILLISECONDS = 600_000;
    private static final List<Double> CUSTOMER_SHARES = List.of(0.40, 0.25, 0.15, 0.12, 0.08);

    /** Returns all known deployments. */
    static List<Deployment> all() {
        return List.of(regie(), beaudoinLachance(), fleet(15), fleet(30), fleet(60));
    }

    /** Returns a large deployment with 2 routers and 9 customers per 3 engines. */
    private static Deployment fleet(int engines) {
        int customers = 3 * engines;
        double sum = IntStream.rangeClosed(1, customers).mapToDouble(Deployment::popularity).sum();
        List<Double> shares =
                IntStream.rangeClosed(1, customers).mapToObj(i -> popularity(i) / sum).toList();
        return new Deployment(
                "fleet-" + engines,
                2 * engines / 3,
                engines,
                1.5 * engines,
                shares,
                List.of(
                        plan("stock", 0, URGENT_DEADLINE_MILLISECONDS, 0.35, 2, 4, 1, 1, 60),
                        plan("drafts", 1, DRAFT_DEADLINE_MILLISECONDS, 0.30, 2, 6, 2, 3, 200),
                        plan("reading", 2, READING_DEADLINE_MILLISECONDS, 0.35, 2, 5, 8, 16, 250)));
    }

    private static double popularity(int rank) {
        return Math.pow(rank, -0.8);
    }

    /**
     * Serves stock queries and bookings first, then drafts, and the reading of specifications last.
     */
    private static Deployment regie() {
        return new Deployment(
                "regie",
                8,
                8,
                12,
                CUSTOMER_SHARES,
                List.of(
                        plan("stock", 0, URGENT_DEADLINE_MILLISECONDS, 0.35, 2, 20, 1, 1, 60),
                        plan("drafts", 1, DRAFT_DEADLINE_MILLISECONDS, 0.30, 2, 30, 2, 3, 200),
                        plan(
                                "spec-reading",
                                2,
                                READING_DEADLINE_MILLISECONDS,
                                0.35,
                                2,
                                25,
                                8,
                                16,
                                250)));
    }

    /** Serves lookups first, then classification with long manuals, and notes last. */
    private static Deployment beaudoinLachance() {
        return new Deployment(
                "beaudoin-lachance",
                6,
                6,
                8,
                CUSTOMER_SHARES,
                List.of(
                        plan("lookup", 0, URGENT_DEADLINE_MILLISECONDS, 0.25, 1, 30, 1, 2, 80),
                        plan("classify", 1, DRAFT_DEADLINE_MILLISECONDS, 0.50, 3, 15, 8, 20, 60),
                        plan("notes", 2, READING_DEADLINE_MILLISECONDS, 0.25, 2, 30, 2, 5, 300)));
    }

    private static RoutePlan plan(
            String name,
            int priority,
            long deadlineMilliseconds,
            double share,
            int systemBlocks,
            int documents,
            int minBlocks,
            int maxBlocks,
            int answerTokens) {
        TraceRoute route = new TraceRoute(ObjectName.of(name), priority, deadlineMilliseconds);
        return new RoutePlan(
                route, share, systemBlocks, documents, minBlocks, maxBlocks, answerTokens);
    }
}
