package org.skylarkbend.forwarding;

/** An action that {@link AdmissionDecider} requests for a waiting call. */
public sealed interface AdmissionEffect {
    /** Start the call. */
    record Start(String call) implements AdmissionEffect {}

    /** Refuse the call, which has not run; the caller may retry after the given time. */
    record Refuse(String call, String detail, long retryAfterMilliseconds)
            implements AdmissionEffect {}
}
