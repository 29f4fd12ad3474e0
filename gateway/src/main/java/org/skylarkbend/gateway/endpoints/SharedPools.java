package org.skylarkbend.gateway.endpoints;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.placement.pool.CrossingTimes;
import org.skylarkbend.placement.pool.FirstEventEstimate;
import org.skylarkbend.placement.pool.HomeCount;
import org.skylarkbend.placement.pool.ReturnTimes;
import org.skylarkbend.placement.pool.SampledChoice;

/**
 * What a gateway has learned about services whose endpoints it knows from old sums only, since many
 * gateways share them, or whose endpoints vary in speed, since they share their machines with
 * others and say so in their responses. Confined to one task.
 */
public final class SharedPools {
    /**
     * Prompt tokens that an engine is assumed to process in a millisecond until responses show it.
     */
    private static final double ASSUMED_TOKENS_PER_MILLISECOND = 30;

    /**
     * Number of gateways from which on the endpoints of all services count as shared. Control sends
     * sums less often the more gateways there are: with fewer, a gateway knows most calls of the
     * others.
     */
    private static final int MIN_GATEWAYS = 16;

    private static final StructuredLog LOG = StructuredLog.of(SharedPools.class);

    private final Set<String> mServices = new HashSet<>();
    private final Map<String, FirstEventEstimate> mEstimates = new HashMap<>();
    private final HomeCount mHomeCount = new HomeCount();
    private final Map<String, Long> mMemoryTokens = new HashMap<>();
    private final CrossingTimes mCrossings;
    private final ReturnTimes mReturnTimes;
    private boolean mSharedByGateways;

    /**
     * Creates the state of a gateway that knows no such service.
     *
     * @param dataCentre data centre of the gateway
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    SharedPools(String dataCentre, DoubleSupplier random) {
        mCrossings = new CrossingTimes(dataCentre);
        mReturnTimes = new ReturnTimes(random);
    }

    /** Replaces the services, by name. */
    void servicesChanged(Map<String, Service> services) {
        mMemoryTokens.clear();
        services.forEach(
                (name, service) ->
                        service.engine()
                                .ifPresent(
                                        engine -> mMemoryTokens.put(name, engine.cacheTokens())));
    }

    /** Returns the tokens that fit into the memory of an engine; 0 if that is not known. */
    long memoryTokens(String service) {
        return mMemoryTokens.getOrDefault(service, 0L);
    }

    /** Records that an endpoint of a service reported how long work takes on its machine. */
    void reported(String service) {
        if (mServices.add(service)) {
            LOG.info("service.shares_machines", "service", service);
        }
    }

    /**
     * Sets the number of gateways that share the endpoints. Endpoints that were shared by many stay
     * so, because a new leader of control counts the gateways anew.
     */
    void gatewaysCounted(int gateways) {
        if (gateways >= MIN_GATEWAYS && !mSharedByGateways) {
            LOG.info("services.shared_by_gateways", "gateways", gateways);
            mSharedByGateways = true;
        }
    }

    /** Returns whether the calls to a service are placed by {@link SampledChoice}. */
    public boolean contains(String service) {
        return mSharedByGateways || mServices.contains(service);
    }

    /** Returns the times after which callers that found no room may return. */
    public ReturnTimes returnTimes() {
        return mReturnTimes;
    }

    /** Records the time from the sending of a prompt until the first event of its response. */
    public void firstEvent(EngineChoice choice, long milliseconds) {
        estimateOf(choice.endpoint().service())
                .observed(choice.tokensAhead() + choice.tokensToRead(), milliseconds);
    }

    /** Records the time that a new connection to an endpoint took. */
    public void connected(String dataCentre, long milliseconds) {
        mCrossings.connected(dataCentre, milliseconds);
    }

    /** Counts a prompt and returns the number of homes of its shared parts. */
    int homeCount(
            String service,
            Prompt prompt,
            String scope,
            List<EndpointLoad> engines,
            long nowMilliseconds) {
        if (!contains(service) || engines == null || prompt.sharedTokens() == 0) {
            return 1;
        }
        return mHomeCount.of(
                PromptHomes.keyHash(prompt, scope),
                prompt.sharedTokens(),
                engines.size(),
                memoryTokens(service),
                nowMilliseconds);
    }

    /** Returns the expected time until the first event, for services in this state. */
    OptionalLong firstEventMilliseconds(String service, long tokens, String dataCentre) {
        if (!contains(service)) {
            return OptionalLong.empty();
        }
        double milliseconds =
                estimateOf(service).milliseconds(tokens) + mCrossings.extraMilliseconds(dataCentre);
        return OptionalLong.of(Math.round(milliseconds));
    }

    /**
     * Returns the prompt tokens that an engine processes in the time that a call needs to leave the
     * data centre of this gateway.
     */
    double crossingTokens(String service, String dataCentre) {
        return mCrossings.extraMilliseconds(dataCentre)
                * estimateOf(service).tokensPerMillisecond();
    }

    private FirstEventEstimate estimateOf(String service) {
        return mEstimates.computeIfAbsent(
                service, name -> new FirstEventEstimate(ASSUMED_TOKENS_PER_MILLISECOND));
    }
}
