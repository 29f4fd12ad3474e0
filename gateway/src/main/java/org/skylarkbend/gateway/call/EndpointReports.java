package org.skylarkbend.gateway.call;

import java.util.OptionalLong;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.endpoints.ReportedLoad;
import org.skylarkbend.quarantine.SuspectCall;

/**
 * Passes on what the attempts of a call show about the endpoints and about its prompt. Confined to
 * the task that serves the calls.
 */
final class EndpointReports {
    private final CallRequest mCall;
    private final CallFingerprint mFingerprint;
    private final CallResources mResources;
    private boolean mServed;

    /** Creates the reports of a call that has not started. */
    EndpointReports(CallRequest call, CallFingerprint fingerprint, CallResources resources) {
        mCall = call;
        mFingerprint = fingerprint;
        mResources = resources;
    }

    /** Records what a response to the call says about the endpoint's wish for further calls. */
    void responded(Endpoint endpoint, ResponseStart head) {
        if (head.header(mResources.names().leaving()) != null) {
            mResources.selector().leaving(endpoint);
        }
        mResources
                .selector()
                .brittleServices()
                .reported(
                        endpoint.service(),
                        refusalsBorne(head.header(mResources.names().brittle())),
                        now());
        if (head.status() == ErrorKind.OVERLOADED.httpStatus()) {
            RetryAfterHeader.parseMilliseconds(head.header(RetryAfterHeader.NAME))
                    .ifPresent(
                            milliseconds ->
                                    mResources.selector().paused(endpoint, milliseconds, now()));
        }
    }

    /** Parses the number of refusals that an endpoint bears; 1 if the header holds no number. */
    private static OptionalLong refusalsBorne(String header) {
        if (header == null) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(header.matches("\\d{1,9}") ? Long.parseLong(header) : 1);
    }

    /** Records the load that an endpoint names in the headers of a response. */
    void loadReceived(Endpoint endpoint, ResponseStart head) {
        ReportedLoad.parse(head.header(mResources.names().load()))
                .ifPresent(load -> mResources.selector().reported(endpoint, load, now()));
    }

    /**
     * Records a failed attempt, which may be due to a crash of the endpoint.
     *
     * @param endpoint endpoint of the attempt
     * @param outcome outcome of the attempt
     * @param isWaiting true if no endpoint has begun to respond to the call
     */
    void attemptFailed(Endpoint endpoint, AttemptOutcome outcome, boolean isWaiting) {
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            mResources.crashes().refusedConnection(endpoint, now());
        } else if (isWaiting && outcome == AttemptOutcome.BROKEN) {
            mResources.crashes().connectionBroke(endpoint, suspect(), now());
            mResources.probes().probe(endpoint);
        } else if (isWaiting && outcome == AttemptOutcome.SILENT) {
            mResources.crashes().waitedInVain(endpoint, suspect());
        }
    }

    /**
     * Records that an endpoint accepts no more connections while the call waits there. If it has
     * crashed, the call is suspect also if no other endpoint takes it.
     */
    void endpointLost(Endpoint endpoint) {
        mResources.crashes().waitedInVain(endpoint, suspect());
    }

    /** Records, once for the call, that an endpoint has survived it. */
    void promptServed() {
        if (!mServed) {
            mServed = true;
            mResources
                    .crashes()
                    .served(
                            mFingerprint.subject(),
                            mFingerprint.sharedParts(),
                            mFingerprint::ownParts,
                            now());
        }
    }

    /**
     * Records the outcome of an attempt that an endpoint may have run.
     *
     * @param endpoint endpoint of the attempt
     * @param isSuccess true if it was a success
     * @param firstEventMilliseconds time from the attempt to the first event
     */
    void outcome(Endpoint endpoint, boolean isSuccess, long firstEventMilliseconds) {
        String route = mCall.route().name();
        if (isSuccess) {
            mResources.outcomes().succeeded(endpoint, route, firstEventMilliseconds);
        } else {
            mResources.outcomes().failed(endpoint, route);
        }
    }

    private SuspectCall suspect() {
        return new SuspectCall(mCall.id(), mFingerprint.parts());
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
