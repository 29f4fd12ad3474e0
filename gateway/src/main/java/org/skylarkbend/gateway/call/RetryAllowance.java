package org.skylarkbend.gateway.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget of this gateway for each service. It keeps the retries of all gateways together to a
 * small fraction of the calls.
 *
 * <p>Each call adds a fraction of a retry, up to the capacity. It is confined to the task that
 * serves the calls.
 */
public final class RetryAllowance {
    private final double mRetriesPerCall;
    private final double mMostSaved;
    private final Map<String, Double> mSaved = new HashMap<>();

    /**
     * Creates a budget that is full for every service.
     *
     * @param retriesPerCall fraction of a retry that each call adds
     * @param maxTokens capacity of the budget of a service
     */
    public RetryAllowance(double retriesPerCall, double mostSaved) {
        mRetriesPerCall = retriesPerCall;
        mMostSaved = mostSaved;
    }

    /** Adds the share of one call to the budget of a service. */
    public void called(String service) {
        double saved = mSaved.getOrDefault(service, mMostSaved);
        mSaved.put(service, Math.min(mMostSaved, saved + mRetriesPerCall));
    }

    /** Takes one retry from the budget of a service. Returns false if none is left. */
    public boolean take(String service) {
        double saved = mSaved.getOrDefault(service, mMostSaved);
        if (saved < 1) {
            return false;
        }
        mSaved.put(service, saved - 1);
        return true;
    }
}
