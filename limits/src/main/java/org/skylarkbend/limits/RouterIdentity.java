package org.skylarkbend.limits;

import org.skylarkbend.base.ObjectName;

/**
 * Incarnation of the router of a VM: a new one begins with each start of the process. A VM runs one
 * router at a time, so a higher incarnation proves that the previous one has ended.
 */
public record RouterIdentity(ObjectName vm, long incarnation) {}
