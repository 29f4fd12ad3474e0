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
public final class RetryBudget {
    private final double mRetriesPerCall;
    private final double mMaxTokens;
    private final Map<String, Double> mTokens = new HashMap<>();

    /**
     * Creates a budget that is full for every service.
     *
     * @param retriesPerCall fraction of a retry that each call adds
     * @param maxTokens capacity of the budget of a service
     */
    public RetryBudget(double retriesPerCall, double maxTokens) {
        mRetriesPerCall = retriesPerCall;
        mMaxTokens = maxTokens;
    }

    /** Adds the share of one call to the budget of a service. */
    public void recordCall(String service) {
        double tokens = mTokens.getOrDefault(service, mMaxTokens);
        mTokens.put(service, Math.min(mMaxTokens, tokens + mRetriesPerCall));
    }

    /** Returns whether the budget of a service has a retry left. */
    public boolean hasRetry(String service) {
        return mTokens.getOrDefault(service, mMaxTokens) >= 1;
    }

    /** Takes one retry from the budget of a service. Returns false if none is left. */
    public boolean tryTake(String service) {
        double tokens = mTokens.getOrDefault(service, mMaxTokens);
        if (tokens < 1) {
            return false;
        }
        mTokens.put(service, tokens - 1);
        return true;
    }
}
