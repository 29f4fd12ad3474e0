package org.skylarkbend.forwarding;

/** The phase of a call and of its current attempt. */
public enum AttemptPhase {
    /** The call waits for admission. */
    WAITING,
    /** Placement selects an endpoint. */
    CHOOSING,
    /** A connection is being opened; no byte has been sent. */
    CONNECTING,
    /** Bytes may have reached the endpoint; no response has been received. */
    SENDING,
    /** The head of the response to the attempt has been received. */
    RECEIVING,
    /** The caller has received a response or an error, or the call was cancelled. */
    ENDED
}
