package org.skylarkbend.gateway.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.skylarkbend.catalog.VersionSplit;

/**
 * The services whose calls are divided between versions of their software. Owned by {@link
 * EndpointSelector}.
 */
final class VersionSplits {
    private final Map<String, VersionSplit> mSplits = new HashMap<>();

    void replace(List<VersionSplit> splits) {
        mSplits.clear();
        splits.forEach(split -> mSplits.put(split.service(), split));
    }

    /**
     * Returns the endpoints among which a call chooses. While calls are divided between versions,
     * these are the endpoints of the versions that the call was drawn for. A retry keeps to the
     * versions that are known to be good. If no endpoint of the drawn versions is left, the call
     * takes any that is not retired.
     *
     * @param service the service of the call
     * @param endpoints all endpoints of the service
     * @param priorAttempts the previous attempts of the call
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    List<EndpointLoad> candidates(
            String service,
            List<EndpointLoad> endpoints,
            PriorAttempts priorAttempts,
            DoubleSupplier random) {
        VersionSplit split = mSplits.get(service);
        if (split == null) {
            return endpoints;
        }
        boolean isRetry = !priorAttempts.incarnations().isEmpty();
        boolean takesVersion =
                split.share() >= 1 || !isRetry && random.getAsDouble() < split.share();
        List<EndpointLoad> drawn = new ArrayList<>();
        List<EndpointLoad> allowed = new ArrayList<>();
        for (EndpointLoad load : endpoints) {
            if (!split.isRetired(load.endpoint())
                    && !priorAttempts.incarnations().contains(load.incarnation())) {
                allowed.add(load);
                if (split.isVersionOf(load.endpoint()) == takesVersion) {
                    drawn.add(load);
                }
            }
        }
        return drawn.isEmpty() ? allowed : drawn;
    }
}
