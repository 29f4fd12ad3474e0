package org.skylarkbend.quarantine;

import java.util.List;
import java.util.Map;

/**
 * Report of a gateway to the leader of control. It repeats what was reported in the last seconds,
 * so that lost reports and new leaders need no handling of their own.
 *
 * @param crashes recent crashes, with the calls of this gateway that waited there
 * @param servedMilliseconds time since a call with a part was last answered, for the parts that
 *     control watches
 * @param answeredCalls number of calls with a prompt that this gateway ever answered, by model
 */
public record CrashEvidence(
        List<EndpointCrash> crashes,
        Map<PromptPart, Long> servedMilliseconds,
        Map<String, Long> answeredCalls) {
    /** Creates the record with copies of the collections. */
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        servedMilliseconds = Map.copyOf(servedMilliseconds);
        answeredCalls = Map.copyOf(answeredCalls);
    }
}
