package org.skylarkbend.placement;

import org.skylarkbend.base.ObjectName;

/**
 * Incarnation of an endpoint: a new one begins with each start of its process, with a different
 * number and an empty cache.
 */
public record EngineIncarnation(ObjectName endpoint, long number) {}
