package org.skylarkbend.replay.trace;

/** Disturbance added to the ordinary traffic of a generated trace. */
public enum Scenario {
    /** No disturbance: the mean rate with short bursts and changing popular documents. */
    STEADY,
    /** Engine crashes, simultaneous restarts of all routers and the loss of a data centre. */
    FAULTS,
    /** The smallest customer exceeds its rate limit fivefold in the middle third of the trace. */
    NOISY,
    /** The least urgent route receives three times its traffic in the middle third of the trace. */
    OVERLOAD
}
