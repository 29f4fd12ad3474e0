package org.skylarkbend.gateway.call;

import java.util.OptionalLong;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.gateway.limits.TokenGate;

/**
 * Rate limit tokens that a call asks for at the gate, if its customer has a limit. Confined to the
 * task that serves the calls.
 */
final class RateReservation {
    private final CallRequest mCall;
    private final CallResources mResources;
    private OptionalLong mNumber = OptionalLong.empty();
    private boolean mCancelled;

    /** Creates a reservation that has not asked for tokens. */
    RateReservation(CallRequest call, CallResources resources) {
        mCall = call;
        mResources = resources;
    }

    /** Asks for the tokens. The caller is admitted at once if its customer has no limit. */
    void request(TokenGate.Caller caller) {
        String customer = mCall.customer().map(Customer::name).orElse("");
        if (!mResources.gate().isLimited(customer)) {
            caller.admitted();
            return;
        }
        long number = mResources.gate().reserve(customer, mCall.units(), caller, now());
        mNumber = OptionalLong.of(number);
        if (mCancelled) {
            mResources.gate().cancel(number, now());
        }
    }

    /** Takes the request for tokens back. */
    void cancel() {
        mCancelled = true;
        mNumber.ifPresent(number -> mResources.gate().cancel(number, now()));
    }

    private long now() {
        return mResources.clock().nowMilliseconds();
    }
}
