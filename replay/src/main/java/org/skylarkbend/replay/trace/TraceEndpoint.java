package org.skylarkbend.replay.trace;

import org.skylarkbend.base.ObjectName;

/** An engine of the deployment and its data centre. */
public record TraceEndpoint(ObjectName name, ObjectName dataCentre) {}
