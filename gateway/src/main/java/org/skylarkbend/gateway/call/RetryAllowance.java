package org.skylarkbend.gateway.call;

import java.util.HashMap;
import java.util.Map;

/**
 * How many calls this gateway may send a second time, by service, so that the retries of all
 * gateways together stay a small part of the calls.
 *
 * <p>Each call adds a part of a retry up to a bound. It belongs to the task that serves the calls.
 */
public final class RetryAllowance {
    private final double mRetriesPerCall;
    private final double mMostSaved;
    private final Map<String, Double> mSaved = new HashMap<>();

    /**
     * A full allowance.
     *
     * @param retriesPerCall what each call adds
     * @param mostSaved the most that is saved up
     */
    public RetryAllowance(double retriesPerCall, double mostSaved) {
        mRetriesPerCall = retriesPerCall;
        mMostSaved = mostSaved;
    }

    /** A call to a service has come. */
    public void called(String service) {
        double saved = mSaved.getOrDefault(service, mMostSaved);
        mSaved.put(service, Math.min(mMostSaved, saved + mRetriesPerCall));
    }

    /** Takes one retry, if one is left. */
    public boolean take(String service) {
        double saved = mSaved.getOrDefault(service, mMostSaved);
        if (saved < 1) {
            return false;
        }
        mSaved.put(service, saved - 1);
        return true;
    }
}
