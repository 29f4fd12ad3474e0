package org.skylarkbend.membership;

import org.skylarkbend.base.ObjectName;

/** A change of a VM. */
public sealed interface VmEffect {
    /** The VM runs a new incarnation; the former one has ended. */
    record VmRestarted(ObjectName vm, long incarnation) implements VmEffect {}

    /**
     * The VM was removed: the platform listed it and no longer does, and its process has been
     * silent. Its resources may be reassigned.
     */
    record VmRemoved(ObjectName vm) implements VmEffect {}
}
