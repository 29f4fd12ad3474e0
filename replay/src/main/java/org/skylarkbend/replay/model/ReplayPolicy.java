package org.skylarkbend.replay.model;

import java.util.List;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.placement.PlacementParameters;
import org.skylarkbend.placement.PlacementPolicies;
import org.skylarkbend.placement.PlacementPolicy;
import org.skylarkbend.placement.PrefixCostPolicy;

/**
 * A policy that takes part in a replay.
 *
 * @param name its name in the report
 * @param knowledge what it sees
 * @param factory makes the policy of one router from the parameters
 */
public record ReplayPolicy(
        String name, Knowledge knowledge, Function<PlacementParameters, PlacementPolicy> factory) {
    /** The name of the router's own policy in the report. */
    public static final String OWN = "skylarkbend";

    /** The name of plain rendezvous hashing in the report. */
    public static final String RENDEZVOUS = "rendezvous";

    /** The name of the policy that sees everything. */
    public static final String ORACLE = "oracle";

    private static final int RENDEZVOUS_BLOCKS = 3;

    /** What a policy sees of the engines. */
    public enum Knowledge {
        /** Load reports, the router's own requests and raw cache events. */
        EVENTS,
        /** Load reports and the router's own requests. */
        OWN_ANSWERS,
        /** Every cache and every queue, without delay. */
        EVERYTHING
    }

    /** The router's own policy with all that routers of a small site receive. */
    public static ReplayPolicy own() {
        return new ReplayPolicy(OWN, Knowledge.EVENTS, PrefixCostPolicy::new);
    }

    /** All policies of a report, the router's own first. */
    public static List<ReplayPolicy> all(long seed) {
        return List.of(
                own(),
                new ReplayPolicy(OWN + "-no-events", Knowledge.OWN_ANSWERS, PrefixCostPolicy::new),
                new ReplayPolicy("random", Knowledge.EVENTS, p -> random(seed)),
                new ReplayPolicy(
                        "least-load", Knowledge.EVENTS, p -> PlacementPolicies.leastLoad()),
                new ReplayPolicy(
                        RENDEZVOUS,
                        Knowledge.EVENTS,
                        p -> PlacementPolicies.rendezvous(RENDEZVOUS_BLOCKS)),
                new ReplayPolicy(
                        ORACLE,
                        Knowledge.EVERYTHING,
                        p -> PlacementPolicies.lowestTimeToFirstToken()));
    }

    private static PlacementPolicy random(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        return PlacementPolicies.random(random::nextInt);
    }
}
