package org.skylarkbend.membership;

/** Condition of a VM. */
public enum VmCondition {
    /** The VM is running. */
    LIVE,
    /** The process of the VM has been silent for a while. */
    SUSPECT,
    /** The platform is about to stop the VM. */
    LEAVING,
    /** The VM is unknown or gone. */
    GONE
}
