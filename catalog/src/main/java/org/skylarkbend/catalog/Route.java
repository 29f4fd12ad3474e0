package org.skylarkbend.catalog;

import java.util.List;

/**
 * Route of a site's catalog, which maps calls to services by host and path prefix.
 *
 * @param name name of the route
 * @param host host that callers request, in lower case
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind repeatability of its calls
 * @param timeoutMilliseconds longest time that a caller is kept waiting
 * @param targetMilliseconds target latency of a response or of the first event of a stream
 * @param priority priority; 0 is the highest
 * @param targets services with their weights
 * @param maxAttempts maximum number of endpoints to which a call is sent
 * @param keyless true if callers need no key
 * @param carriesPrompt true if calls describe a prompt with shared parts
 * @param resumable true if a stream may resume at another endpoint
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        long timeoutMilliseconds,
        long targetMilliseconds,
        int priority,
        List<Target> targets,
        int maxAttempts,
        boolean keyless,
        boolean carriesPrompt,
        boolean resumable) {
    /** Creates a route with a copy of {@code targets}. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Service with its relative share of the calls. */
    public record Target(String service, int weight) {}

    /** Returns whether a call may be sent again after it may have run. */
    public boolean mayRunAgain() {
        return kind == CallKind.REPEATABLE;
    }

    /**
     * Selects the service of a call according to the weights of the targets.
     *
     * @param draw random number of the call, from 0 (inclusive) to 1 (exclusive)
     */
    public String serviceAt(double draw) {
        long total = targets.stream().mapToLong(Target::weight).sum();
        double remaining = draw * total;
        for (Target target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
