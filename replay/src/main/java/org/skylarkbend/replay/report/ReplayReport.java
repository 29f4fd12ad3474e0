package org.skylarkbend.replay.report;

import java.util.List;
import java.util.Optional;

/**
 * Results of all policies over a trace.
 *
 * @param trace file name of the trace
 * @param results results of the policies, the router's own first
 * @param undisturbed result of the router's own policy without the least urgent routes
 */
public record ReplayReport(String trace, List<PolicyResult> results, PolicyResult undisturbed) {
    /** Copies the results. */
    public ReplayReport {
        results = List.copyOf(results);
    }

    /** Returns the result of the router's own policy. */
    public PolicyResult own() {
        return results.get(0);
    }

    /** Returns the result of the named policy, or empty if it was not replayed. */
    public Optional<PolicyResult> of(String policy) {
        return results.stream().filter(result -> result.policy().equals(policy)).findFirst();
    }
}
