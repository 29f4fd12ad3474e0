package org.skylarkbend.control.work;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Adds up what gateways have under way at endpoints.
 *
 * <p>Gateways choose endpoints by themselves and see only their own calls; without the sum, several
 * of them send long prompts to the same engine at the same time. The state belongs to one task.
 */
public final class WorkDecider {
    /** A gateway that says nothing for so long has gone; it repeats itself every half second. */
    static final long GATEWAY_LIFE_MILLISECONDS = 1_200;

    private final Map<RouterIdentity, Told> mTold = new LinkedHashMap<>();

    /** What one gateway said, and when. */
    private record Told(Map<String, EndpointWork> work, long atMilliseconds) {}

    /** Takes what one gateway has under way. */
    public void take(RouterIdentity gateway, Map<String, EndpointWork> work, long nowMilliseconds) {
        mTold.put(gateway, new Told(Map.copyOf(work), nowMilliseconds));
    }

    /** Forgets all gateways. */
    public void clear() {
        mTold.clear();
    }

    /** What all other gateways have under way, by the gateway that should know it. */
    public Map<RouterIdentity, Map<String, EndpointWork>> others(long nowMilliseconds) {
        mTold.values()
                .removeIf(
                        told ->
                                nowMilliseconds - told.atMilliseconds()
                                        > GATEWAY_LIFE_MILLISECONDS);
        Map<String, EndpointWork> sum = new HashMap<>();
        mTold.values()
                .forEach(
                        told ->
                                told.work()
                                        .forEach(
                                                (endpoint, work) ->
                                                        sum.merge(
                                                                endpoint,
                                                                work,
                                                                EndpointWork::plus)));
        Map<RouterIdentity, Map<String, EndpointWork>> others = new LinkedHashMap<>();
        mTold.forEach((gateway, told) -> others.put(gateway, without(sum, told.work())));
        return others;
    }

    private static Map<String, EndpointWork> without(
            Map<String, EndpointWork> sum, Map<String, EndpointWork> part) {
        Map<String, EndpointWork> rest = new HashMap<>();
        sum.forEach(
                (endpoint, work) -> {
                    EndpointWork left =
                            work.minus(part.getOrDefault(endpoint, EndpointWork.none()));
                    if (!left.equals(EndpointWork.none())) {
                        rest.put(endpoint, left);
                    }
                });
        return rest;
    }
}
