package org.skylarkbend.placement;

import org.skylarkbend.base.ObjectName;

/**
 * One run of the process of an endpoint. A restarted engine has a different incarnation number and
 * an empty cache.
 */
public record EngineIncarnation(ObjectName endpoint, long number) {}
