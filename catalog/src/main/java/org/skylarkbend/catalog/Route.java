package org.skylarkbend.catalog;

import java.util.List;

/**
 * Which calls go to which services.
 *
 * @param name its name
 * @param host the host that callers ask for, in lower case
 * @param pathPrefix what paths begin with; it begins and ends with a slash
 * @param kind what may be done with its calls
 * @param timeoutMilliseconds how long a caller is kept waiting at most
 * @param targetMilliseconds within which time an answer, or the first event of a stream, is due
 * @param priority its rank; 0 is the highest
 * @param targets the services with their weights
 * @param maxAttempts to how many endpoints one call may be sent
 * @param open whether callers need no key
 * @param carriesPrompt whether calls describe a prompt whose parts are shared
 * @param resumable whether a stream may go on at another endpoint
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
        boolean open,
        boolean carriesPrompt,
        boolean resumable) {
    /** Copies the targets. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** A service with its share of the calls. */
    public record Target(String service, int weight) {}

    /** Whether a call may be sent again although it may have run. */
    public boolean mayRunAgain() {
        return kind == CallKind.REPEATABLE;
    }

    /**
     * The service of a call.
     *
     * @param draw a number from 0 to below 1 that belongs to the call
     */
    public String serviceAt(double draw) {
        long total = targets.stream().mapToLong(Target::weight).sum();
        double left = draw * total;
        for (Target target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
