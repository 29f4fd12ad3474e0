package org.skylarkbend.membership;

import org.skylarkbend.base.ObjectName;

/** A change of an endpoint. */
public sealed interface MembershipEffect {
    /** The condition of the endpoint has changed. */
    record ConditionChanged(ObjectName endpoint, EndpointCondition from, EndpointCondition to)
            implements MembershipEffect {}

    /** The endpoint restarted and lost everything cached by its former incarnation. */
    record Restarted(ObjectName endpoint, long incarnation) implements MembershipEffect {}
}
