package org.skylarkbend.control.log;

import java.util.Map;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.PublishingState;
import org.skylarkbend.usage.UsageTokens;

/**
 * A state change caused by a committed entry or a restored snapshot, sent to the other tasks of the
 * process.
 */
public sealed interface ControlChange {
    /** A set was accepted, or the state was restored from a snapshot. */
    record PublishingChanged(PublishingState state, PublishedSet set) implements ControlChange {}

    /** The set of routers that may hold rate limit tokens changed. */
    record LimitRegistryChanged(LimitRegistry registry) implements ControlChange {}

    /**
     * Usage was counted. The map holds the tokens that each listed customer has used so far in the
     * month.
     */
    record UsageCounted(long month, Map<ObjectName, UsageTokens> tokens) implements ControlChange {
        /** Copies the map. */
        public UsageCounted {
            tokens = Map.copyOf(tokens);
        }
    }
}
