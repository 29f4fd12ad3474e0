package org.skylarkbend.membership;

import java.util.Set;
import org.skylarkbend.base.ObjectName;

/** Evidence about endpoints. */
public sealed interface MembershipMessage {
    /** A set that names these endpoints has come into force. */
    record EndpointsConfigured(Set<ObjectName> endpoints) implements MembershipMessage {
        /** Copies the set. */
        public EndpointsConfigured {
            endpoints = Set.copyOf(endpoints);
        }
    }

    /**
     * The platform's list was read.
     *
     * @param generation the increasing number of the list; a list older than one already read is
     *     ignored
     * @param leaving the endpoints that the list marks as leaving
     */
    record ListRead(long generation, Set<ObjectName> leaving) implements MembershipMessage {
        /** Copies the set. */
        public ListRead {
            leaving = Set.copyOf(leaving);
        }
    }

    /** The endpoint itself sent a report. */
    record ReportReceived(ObjectName endpoint, long incarnation, boolean leaving)
            implements MembershipMessage {}

    /** The endpoint sent no report on request, or an attempt could not reach it. */
    record Failed(ObjectName endpoint) implements MembershipMessage {}

    /** The endpoint responded to an attempt. */
    record ResponseReceived(ObjectName endpoint) implements MembershipMessage {}

    /** Time has passed. */
    record TimePassed() implements MembershipMessage {}
}
