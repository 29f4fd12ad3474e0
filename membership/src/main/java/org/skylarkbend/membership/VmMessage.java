package org.skylarkbend.membership;

import java.util.List;
import org.skylarkbend.base.ObjectName;

/** Evidence about VMs. */
public sealed interface VmMessage {
    /**
     * The platform's list was read.
     *
     * @param generation the increasing number of the list; a list older than one already read is
     *     ignored
     * @param vms all listed VMs
     */
    record VmListRead(long generation, List<ListedVm> vms) implements VmMessage {
        /** Copies the list. */
        public VmListRead {
            vms = List.copyOf(vms);
        }
    }

    /** A heartbeat of the process of a VM was received. */
    record HeartbeatReceived(ObjectName vm, long incarnation) implements VmMessage {}

    /** Time has passed. */
    record TimePassed() implements VmMessage {}
}
