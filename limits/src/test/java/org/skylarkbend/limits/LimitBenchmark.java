package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitShareMessage.LimitsPublished;
import org.skylarkbend.limits.LimitShareMessage.Release;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.skylarkbend.limits.LimitShareMessage.Spend;

/**
 * Benchmark that prints the message sizes of limits and the time and memory of the owner and of a
 * router at several sizes.
 *
 * <p>This is a measurement, not a test.
 */
public final class LimitBenchmark {
    private static final int ENTRIES_PER_REPORT = 10;
    private static final int ROUNDS = 200;
    private static final long ROUND_MILLISECONDS = 20;
    private static final LimitPolicy POLICY = LimitPolicy.standard();
    private static final double NANOSECONDS_PER_MICROSECOND = 1e3;

    private LimitBenchmark() {}

    /** Prints one line per size of the owner, one per size of a router, and the message sizes. */
    public static void main(String[] args) {
        owner(8, 5);
        for (int routers : new int[] {8, 100, 400}) {
            owner(routers, 1_800);
        }
        for (int customers : new int[] {5, 600, 1_800}) {
            router(customers);
        }
        messages();
    }

    private static void owner(int routers, int customers) {
        long emptyBytes = usedBytes();
        LimitOwnerDecider owner = new LimitOwnerDecider(POLICY, 1, LimitRegistry.empty(), 0);
        owner.decide(new LimitOwnerMessage.LimitsPublished(limits(customers)), 0);
        for (int router = 0; router < routers; router++) {
            owner.decide(new RouterRegistered(identity(router)), 0);
        }
        long[] totals = new long[routers * customers];
        run(owner, routers, customers, totals, 0);
        long begin = System.nanoTime();
        run(owner, routers, customers, totals, ROUNDS);
        double reports = (double) ROUNDS * routers;
        double microseconds = (System.nanoTime() - begin) / NANOSECONDS_PER_MICROSECOND / reports;
        long heldBytes = usedBytes() - emptyBytes;
        System.out.printf(
                "owner: routers %d customers %d: %.1f us per report of %d customers,"
                        + " %d bytes held%n",
                routers,
                customers,
                microseconds,
                Math.min(ENTRIES_PER_REPORT, customers),
                heldBytes - 8L * totals.length);
        owner.decide(new LimitOwnerMessage.Wake(), 1);
    }

    private static void run(
            LimitOwnerDecider owner, int routers, int customers, long[] totals, int firstRound) {
        for (int round = firstRound; round < firstRound + ROUNDS; round++) {
            for (int router = 0; router < routers; router++) {
                Report report = report(router, customers, totals, round);
                long nowMilliseconds = round * ROUND_MILLISECONDS;
                owner.decide(new RouterMessageReceived(identity(router), report), nowMilliseconds);
            }
        }
    }

    /**
     * Returns the report of a router that has used everything granted to it and requests the same
     * amount again.
     */
    private static Report report(int router, int customers, long[] totals, int round) {
        List<ReportEntry> entries = new ArrayList<>();
        for (int i = 0; i < Math.min(ENTRIES_PER_REPORT, customers); i++) {
            int customer = (router * 7 + round * ENTRIES_PER_REPORT + i) % customers;
            totals[router * customers + customer] += 500;
            long usedTokens = totals[router * customers + customer] - 500;
            entries.add(
                    new ReportEntry(
                            name(customer), 0, usedTokens, 0, usedTokens, 1, 500, 500, false));
        }
        return new Report(1, round + 1, round == 0, entries);
    }

    private static void router(int customers) {
        long emptyBytes = usedBytes();
        LimitShareDecider share = new LimitShareDecider(POLICY, 0);
        share.decide(new LimitsPublished(limits(customers)), 0);
        share.decide(new LimitShareMessage.OwnerMessageReceived(new LimitMessage.TermBegan(1)), 0);
        calls(share, customers, 0);
        long begin = System.nanoTime();
        calls(share, customers, 1);
        double microseconds = (System.nanoTime() - begin) / NANOSECONDS_PER_MICROSECOND;
        long heldBytes = usedBytes() - emptyBytes;
        System.out.printf(
                "router: customers %d: %.2f us per call (reserve, grant, spend, release),"
                        + " %d bytes held%n",
                customers, microseconds / (ROUNDS * ENTRIES_PER_REPORT), heldBytes);
        share.decide(new LimitShareMessage.Wake(), 1);
    }

    private static void calls(LimitShareDecider share, int customers, int half) {
        int calls = ROUNDS * ENTRIES_PER_REPORT;
        for (int call = half * calls; call < (half + 1) * calls; call++) {
            ObjectName customer = name(call % customers);
            long nowMilliseconds = call;
            share.decide(new Reserve(call, customer, 100), nowMilliseconds);
            long total = 100L * (call / customers + 1);
            Grants grants = new Grants(1, call, List.of(new GrantEntry(customer, total, false)));
            share.decide(new LimitShareMessage.OwnerMessageReceived(grants), nowMilliseconds);
            share.decide(new Spend(call, 100), nowMilliseconds);
            share.decide(new Release(call), nowMilliseconds);
        }
    }

    private static void messages() {
        LimitCodec codec = new LimitCodec();
        int one = codec.encode(new Report(1, 1_000_000, false, List.of(entry(1)))).length;
        int two = codec.encode(new Report(1, 1_000_000, false, List.of(entry(1), entry(2)))).length;
        GrantEntry grant = new GrantEntry(name(1), 5_000_000, false);
        int oneGrant = codec.encode(new Grants(1, 1_000_000, List.of(grant))).length;
        int twoGrants = codec.encode(new Grants(1, 1_000_000, List.of(grant, grant))).length;
        System.out.printf(
                "messages: report %d bytes and %d per customer, grants %d bytes and %d per"
                        + " customer%n",
                2 * one - two, two - one, 2 * oneGrant - twoGrants, twoGrants - oneGrant);
    }

    private static ReportEntry entry(int customer) {
        return new ReportEntry(
                name(customer), 0, 5_000_000, 100_000, 5_200_000, 1, 8_000, 12_000, false);
    }

    private static List<CustomerLimit> limits(int customers) {
        List<CustomerLimit> limits = new ArrayList<>();
        for (int customer = 0; customer < customers; customer++) {
            limits.add(new CustomerLimit(name(customer), 60_000, 400_000));
        }
        return limits;
    }

    private static ObjectName name(int customer) {
        return ObjectName.of("customer-" + customer);
    }

    private static RouterIdentity identity(int router) {
        return new RouterIdentity(ObjectName.of("entry-" + router), 1);
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
