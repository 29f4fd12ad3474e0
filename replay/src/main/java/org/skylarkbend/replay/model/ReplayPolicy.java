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
 * A placement policy under comparison in a replay.
 *
 * @param name name in the report
 * @param knowledge information about the engines that the policy receives
 * @param factory creates the policy of a router
 */
public record ReplayPolicy(
        String name, Knowledge knowledge, Function<PlacementParameters, PlacementPolicy> factory) {
    /** Name of the router's own policy in the report. */
    public static final String OWN = "skylarkbend";

    /** Name of plain rendezvous hashing in the report. */
    public static final String RENDEZVOUS = "rendezvous";

    /** Name in the report of the policy that knows the exact state of every engine. */
    public static final String ORACLE = "oracle";

    private static final int RENDEZVOUS_BLOCKS = 3;

    /** Information about the engines that a policy receives. */
    public enum Knowledge {
        /** Load reports, the router's own requests and raw cache events. */
        EVENTS,
        /** Load reports and the router's own requests. */
        OWN_REQUESTS,
        /** Exact state of every cache and queue, without delay. */
        EVERYTHING
    }

    /** Returns the router's own policy with all information that routers receive. */
    public static ReplayPolicy own() {
        return new ReplayPolicy(OWN, Knowledge.EVENTS, PrefixCostPolicy::new);
    }

    /** Returns all policies of a report, the router's own first. */
    public static List<ReplayPolicy> all(long seed) {
        return List.of(
                own(),
                new ReplayPolicy(OWN + "-no-events", Knowledge.OWN_REQUESTS, PrefixCostPolicy::new),
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
