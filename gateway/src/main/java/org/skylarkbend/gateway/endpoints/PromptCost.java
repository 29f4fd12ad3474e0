package org.skylarkbend.gateway.endpoints;

import java.util.Map;

/** Estimates what a prompt costs at an engine, in prompt tokens. Confined to one task. */
final class PromptCost {
    /** Assumed fraction of the shared tokens that the home engine of a prompt has to process. */
    private static final double HOME_MISS_RATIO = 0.15;

    /**
     * Cost per shared token on another engine. It is above 1 because the prompt also takes cache
     * space and time from the prompts whose home is there.
     */
    private static final double OTHER_ENGINE_COST_FACTOR = 2;

    /** Cost of a waiting call, in prompt tokens. */
    private static final double WAITING_CALL_COST_TOKENS = 1_500;

    /** Cost of a running call, in prompt tokens, because it slows the processing of prompts. */
    private static final double RUNNING_CALL_COST_TOKENS = 60;

    /**
     * Cost of a running call for each token of an answer, in prompt tokens, since each token takes
     * longer the more calls run.
     */
    private static final double RUNNING_CALL_COST_PER_ANSWER_TOKEN = 3;

    /** Highest cost of a running call. Callers may declare far longer answers than they get. */
    private static final double MAX_RUNNING_CALL_COST_TOKENS = 10_000;

    /** Additional cost of an engine whose memory the prompts that it has not read would fill. */
    static final double FULL_COST = EndpointSelector.LAST_RESORT_COST / 4;

    private final WeightsCost mWeightsCost;
    private final SharedPools mShared;

    PromptCost(WeightsCost weightsCost, SharedPools shared) {
        mWeightsCost = weightsCost;
        mShared = shared;
    }

    /** Returns the estimated number of tokens of a prompt that an engine has to process. */
    static long tokensToRead(Prompt prompt, boolean isHome) {
        long ownTokens = prompt.promptTokens() - prompt.sharedTokens();
        double missRatio = isHome ? HOME_MISS_RATIO : 1;
        return ownTokens + (long) (missRatio * prompt.sharedTokens());
    }

    /** Returns the cost; infinite if the engine cannot run the prompt. */
    double of(
            EndpointLoad load,
            Prompt prompt,
            boolean isHome,
            Map<EndpointLoad, Integer> weightsLoadOrder,
            long nowMilliseconds) {
        if (!PromptHomes.serves(load, prompt.model())) {
            return Double.POSITIVE_INFINITY;
        }
        double costFactor = isHome ? HOME_MISS_RATIO : OTHER_ENGINE_COST_FACTOR;
        double cost =
                costFactor * prompt.sharedTokens()
                        + mWeightsCost.cost(load, weightsLoadOrder, prompt, nowMilliseconds);
        String service = load.endpoint().service();
        if (!mShared.contains(service)) {
            return cost + work(load, RUNNING_CALL_COST_TOKENS, nowMilliseconds);
        }
        double runningCallCost =
                Math.max(
                        RUNNING_CALL_COST_TOKENS,
                        Math.min(
                                MAX_RUNNING_CALL_COST_TOKENS,
                                RUNNING_CALL_COST_PER_ANSWER_TOKEN * prompt.maxAnswerTokens()));
        double workTime = load.workTime(nowMilliseconds);
        return cost
                + work(load, runningCallCost, nowMilliseconds) * workTime
                + tokensToRead(prompt, isHome) * (workTime - 1)
                + mShared.crossingTokens(service, load.endpoint().zone())
                + (isFull(load, prompt, nowMilliseconds) ? FULL_COST : 0);
    }

    private static double work(EndpointLoad load, double runningCallCost, long nowMilliseconds) {
        return load.promptTokens(nowMilliseconds)
                + load.waiting(nowMilliseconds) * WAITING_CALL_COST_TOKENS
                + load.calls(nowMilliseconds) * runningCallCost;
    }

    /** Returns whether the prompts that an engine has not read leave no memory for another one. */
    private boolean isFull(EndpointLoad load, Prompt prompt, long nowMilliseconds) {
        long memoryTokens = mShared.memoryTokens(load.endpoint().service());
        return memoryTokens > 0
                && load.promptTokens(nowMilliseconds) + prompt.promptTokens() > memoryTokens;
    }
}
