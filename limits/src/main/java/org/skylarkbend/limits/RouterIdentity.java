package org.skylarkbend.limits;

import org.skylarkbend.base.ObjectName;

/**
 * One run of the router of a VM. A VM runs one router at a time, so a higher incarnation proves
 * that the previous run has ended.
 */
public record RouterIdentity(ObjectName vm, long incarnation) {}
