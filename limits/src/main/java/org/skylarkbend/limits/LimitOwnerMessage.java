package org.skylarkbend.limits;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/** Input of the limit owner. */
public sealed interface LimitOwnerMessage {
    /** A router incarnation connected or gave another sign of life. */
    record RouterConnected(RouterIdentity router) implements LimitOwnerMessage {}

    /** The log has committed that this incarnation may hold tokens. */
    record RouterRegistered(RouterIdentity router) implements LimitOwnerMessage {}

    /** The platform no longer lists this VM. */
    record VmRemoved(ObjectName vm) implements LimitOwnerMessage {}

    /** A message from a router arrived. */
    record RouterMessageReceived(RouterIdentity router, LimitMessage message)
            implements LimitOwnerMessage {}

    /** The complete list of published limits. */
    record LimitsPublished(List<CustomerLimit> limits) implements LimitOwnerMessage {
        /** Copies the list. */
        public LimitsPublished {
            limits = List.copyOf(limits);
        }
    }

    /** The requested wake-up time has been reached. */
    record Wake() implements LimitOwnerMessage {}
}
