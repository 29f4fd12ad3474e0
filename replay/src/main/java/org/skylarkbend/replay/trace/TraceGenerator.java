package org.skylarkbend.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PrefixChain;

/** Generates a trace of a known deployment. Equal arguments give equal traces. */
public final class TraceGenerator {
    private static final int DATA_CENTRES = 3;
    private static final double RATE_HEADROOM = 1.6;
    private static final long BURST_SECONDS = 40;
    private static final double NOISY_FACTOR = 5;
    private static final double OVERLOAD_FACTOR = 3;
    private static final double SPIKE_FACTOR = 3;
    private static final long SPIKE_PERIOD_MILLISECONDS = 45_000;
    private static final long SPIKE_DURATION_MILLISECONDS = 4_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final Deployment mDeployment;
    private final Scenario mScenario;
    private final long mLengthMilliseconds;
    private final UniformRandomProvider mRandom;

    private TraceGenerator(
            Deployment deployment, Scenario scenario, long seed, long lengthMilliseconds) {
        mDeployment = deployment;
        mScenario = scenario;
        mLengthMilliseconds = lengthMilliseconds;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the names of the known deployments. */
    public static List<String> deployments() {
        return Deployment.all().stream().map(Deployment::name).toList();
    }

    /** Generates a trace, or returns empty if no deployment has this name. */
    public static Optional<Trace> generate(
            String deployment, Scenario scenario, long seed, long lengthMilliseconds) {
        return Deployment.all().stream()
                .filter(candidate -> candidate.name().equals(deployment))
                .findFirst()
                .map(d -> new TraceGenerator(d, scenario, seed, lengthMilliseconds).generate());
    }

    private Trace generate() {
        List<TraceRequest> requests = new ArrayList<>();
        for (int customer = 0; customer < mDeployment.customerShares().size(); customer++) {
            for (RoutePlan plan : mDeployment.routes()) {
                addRequests(customer, plan, requests);
            }
        }
        requests.sort(Comparator.comparingLong(TraceRequest::atMilliseconds));
        List<TraceRoute> routes = mDeployment.routes().stream().map(RoutePlan::route).toList();
        return new Trace(
                mDeployment.routers(), endpoints(), customers(), routes, requests, faults());
    }

    private void addRequests(int customer, RoutePlan plan, List<TraceRequest> requests) {
        double meanRate =
                mDeployment.requestsPerSecond()
                        * mDeployment.customerShares().get(customer)
                        * plan.share();
        PromptSource prompts = new PromptSource(plan, mRandom.nextLong(), mRandom);
        ZigguratSampler.Exponential interarrivalTimes = ZigguratSampler.Exponential.of(mRandom);
        double now = 0;
        while (now < mLengthMilliseconds) {
            double rate = meanRate * rateFactor(customer, plan, (long) now);
            now += interarrivalTimes.sample() / rate * MILLISECONDS_PER_SECOND;
            requests.add(request((long) now, customer, plan, prompts.next((long) now)));
        }
    }

    private TraceRequest request(long at, int customer, RoutePlan plan, PrefixChain chain) {
        int answerTokens =
                plan.meanAnswerTokens() / 2 + mRandom.nextInt(plan.meanAnswerTokens() + 1);
        return new TraceRequest(
                at, nameOf(customer), plan.route().name(), chain, answerTokens, Optional.empty());
    }

    private double rateFactor(int customer, RoutePlan plan, long nowMilliseconds) {
        boolean inMiddleThird =
                nowMilliseconds > mLengthMilliseconds / 3
                        && nowMilliseconds < 2 * mLengthMilliseconds / 3;
        int lastCustomer = mDeployment.customerShares().size() - 1;
        if (inMiddleThird && mScenario == Scenario.NOISY && customer == lastCustomer) {
            return NOISY_FACTOR * RATE_HEADROOM;
        }
        boolean leastUrgent = plan == mDeployment.routes().get(mDeployment.routes().size() - 1);
        if (inMiddleThird && mScenario == Scenario.OVERLOAD && leastUrgent) {
            return OVERLOAD_FACTOR;
        }
        long spikeNumber = nowMilliseconds / SPIKE_PERIOD_MILLISECONDS;
        boolean inSpike =
                nowMilliseconds % SPIKE_PERIOD_MILLISECONDS < SPIKE_DURATION_MILLISECONDS
                        && spikeNumber % (lastCustomer + 1) == customer;
        return inSpike ? SPIKE_FACTOR : 1;
    }

    private List<TraceEndpoint> endpoints() {
        List<TraceEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < mDeployment.engines(); i++) {
            ObjectName dataCentre = ObjectName.of("dc-" + (1 + i % DATA_CENTRES));
            endpoints.add(new TraceEndpoint(ObjectName.of("engine-" + (1 + i)), dataCentre));
        }
        return endpoints;
    }

    private List<TraceCustomer> customers() {
        double meanTokens = 0;
        for (RoutePlan plan : mDeployment.routes()) {
            double documentBlocks = (plan.minDocumentBlocks() + plan.maxDocumentBlocks()) / 2.0;
            double blocks = plan.systemBlocks() + documentBlocks + 1.5;
            meanTokens +=
                    plan.share() * (blocks * PrefixChain.BLOCK_TOKENS + plan.meanAnswerTokens());
        }
        List<TraceCustomer> customers = new ArrayList<>();
        for (int i = 0; i < mDeployment.customerShares().size(); i++) {
            double requests = mDeployment.requestsPerSecond() * mDeployment.customerShares().get(i);
            long tokensPerSecond = (long) (requests * meanTokens * RATE_HEADROOM);
            customers.add(
                    new TraceCustomer(nameOf(i), tokensPerSecond, tokensPerSecond * BURST_SECONDS));
        }
        return customers;
    }

    private List<TraceFault> faults() {
        if (mScenario != Scenario.FAULTS) {
            return List.of();
        }
        return List.of(
                fault(0.2, TraceFaultKind.CRASH, "engine-2", 15_000),
                fault(0.4, TraceFaultKind.HERD_RESTART, "all", 0),
                fault(0.6, TraceFaultKind.DATA_CENTRE_LOSS, "dc-3", 30_000),
                fault(0.8, TraceFaultKind.HERD_RESTART, "all", 0),
                fault(0.8, TraceFaultKind.CRASH, "engine-1", 15_000));
    }

    private TraceFault fault(
            double relativeTime, TraceFaultKind kind, String target, long durationMilliseconds) {
        return new TraceFault(
                (long) (relativeTime * mLengthMilliseconds),
                kind,
                ObjectName.of(target),
                durationMilliseconds);
    }

    private static ObjectName nameOf(int customer) {
        return ObjectName.of("customer-" + (1 + customer));
    }
}
