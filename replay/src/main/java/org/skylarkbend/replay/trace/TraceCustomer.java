package org.skylarkbend.replay.trace;

import org.skylarkbend.base.ObjectName;

/** A customer and its rate limit, which counts prompt and response tokens. */
public record TraceCustomer(ObjectName name, long tokensPerSecond, long burstTokens) {}
