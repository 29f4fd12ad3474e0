package org.skylarkbend.moves;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/** Input of the moves. All messages go through the log. */
public sealed interface MoveMessage {
    /** The moves of a newly accepted set. Moves that it does not contain are removed. */
    record PlansPublished(List<MovePlan> plans) implements MoveMessage {
        /** Copies the plans. */
        public PlansPublished {
            plans = List.copyOf(plans);
        }
    }

    /** Request outcomes have been reported. */
    record OutcomesReported(List<OutcomeWindow> windows) implements MoveMessage {
        /** Copies the windows. */
        public OutcomesReported {
            windows = List.copyOf(windows);
        }
    }

    /** An endpoint has loaded a version. */
    record Loaded(ObjectName endpoint, ObjectName version) implements MoveMessage {}

    /** An endpoint failed to load a version. */
    record LoadFailed(ObjectName endpoint) implements MoveMessage {}

    /** The endpoints of a move have changed. */
    record EndpointsChanged(ObjectName move, List<ObjectName> endpoints) implements MoveMessage {
        /** Copies the endpoints. */
        public EndpointsChanged {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** An endpoint restarted and lost its loaded versions. */
    record Restarted(ObjectName endpoint) implements MoveMessage {}

    /** Time has passed. */
    record Tick() implements MoveMessage {}
}
