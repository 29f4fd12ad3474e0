package org.skylarkbend.membership;

/** Condition of a VM. */
public enum VmCondition {
    /** The VM is running. */
    LIVE,
    /** The VM has sent no heartbeat for the suspect timeout. */
    SUSPECT,
    /** The platform is about to stop the VM. */
    LEAVING,
    /** The VM is unknown or was removed. */
    REMOVED
}
