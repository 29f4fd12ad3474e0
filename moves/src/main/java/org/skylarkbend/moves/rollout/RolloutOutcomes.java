package org.skylarkbend.moves.rollout;

import java.util.List;
import org.skylarkbend.moves.OutcomeWindow;

/**
 * What a gateway has seen of a rollout since its previous report.
 *
 * @param service the service
 * @param version the version that is brought in
 * @param sentToOthers the number of calls sent to endpoints of other versions
 * @param sentToVersion the number of calls sent to endpoints of the version
 * @param windows the outcomes of finished calls, by route
 */
public record RolloutOutcomes(
        String service,
        String version,
        long sentToOthers,
        long sentToVersion,
        List<OutcomeWindow> windows) {
    /** Copies the list; throws {@link IllegalArgumentException} if a number is negative. */
    public RolloutOutcomes {
        if (sentToOthers < 0 || sentToVersion < 0) {
            throw new IllegalArgumentException("the number of sent calls is negative");
        }
        windows = List.copyOf(windows);
    }
}
