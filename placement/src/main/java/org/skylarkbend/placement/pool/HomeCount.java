package org.skylarkbend.placement.pool;

import org.skylarkbend.placement.PrefixPopularity;

/**
 * Decides how many engines keep the shared parts of a prompt.
 *
 * <p>Parts that have a large share of the recent tokens get more homes, so that one engine need not
 * serve all of their prompts, and fewer again when they are asked for less. Routers that measure
 * different shares still agree on the first homes, which are the same at all of them. Confined to
 * one task.
 */
public final class HomeCount {
    /** Four keys each; a router sees far fewer hot parts at a time. */
    private static final int BUCKETS = 256;

    /** Time in which a part that is asked for no more loses its further homes. */
    private static final long DECAY_MILLISECONDS = 10_000;

    /**
     * Part of the engines that a share of the tokens is worth. Further homes read the parts once
     * more each, so a hot part gets half as many homes as its share of the work would fill.
     */
    private static final double ENGINES_PER_SHARE = 0.5;

    private final PrefixPopularity mPopularity = new PrefixPopularity(BUCKETS, DECAY_MILLISECONDS);

    /**
     * Counts a prompt and returns the number of homes of its shared parts.
     *
     * @param key hash of the shared parts
     * @param sharedTokens tokens in them
     * @param engines number of engines of the pool
     * @param memoryTokens tokens that fit into the memory of an engine; until a router has seen
     *     some times as many, no part counts as hot
     * @param nowMilliseconds current time
     */
    public int of(
            long key, long sharedTokens, int engines, long memoryTokens, long nowMilliseconds) {
        mPopularity.count(key, sharedTokens, nowMilliseconds);
        double share =
                mPopularity.count(key, nowMilliseconds)
                        / (mPopularity.total(nowMilliseconds) + memoryTokens);
        return Math.max(1, (int) Math.round(share * engines * ENGINES_PER_SHARE));
    }
}
