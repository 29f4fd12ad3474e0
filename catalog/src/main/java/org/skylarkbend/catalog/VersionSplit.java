package org.skylarkbend.catalog;

import java.util.Set;

/**
 * How the calls of a service are divided between a version of its software and all others.
 *
 * @param service name of the service
 * @param version version that is brought in
 * @param share share of the calls that the version gets, from 0 to 1
 * @param retiredVersions versions that get no calls even if no other endpoint is left
 */
public record VersionSplit(
        String service, String version, double share, Set<String> retiredVersions) {
    /** Creates the split with a copy of the set. */
    public VersionSplit {
        retiredVersions = Set.copyOf(retiredVersions);
    }

    /** Returns whether the endpoint runs the version that is brought in. */
    public boolean isVersionOf(Endpoint endpoint) {
        return version.equals(endpoint.softwareVersion());
    }

    /** Returns whether the endpoint runs a version that gets no calls. */
    public boolean isRetired(Endpoint endpoint) {
        return retiredVersions.contains(endpoint.softwareVersion());
    }
}
