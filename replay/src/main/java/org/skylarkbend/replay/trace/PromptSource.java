package org.skylarkbend.replay.trace;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.placement.PrefixIndex;

/**
 * Generates the prompts of a customer on a route.
 *
 * <p>A prompt consists of the system blocks of the route, a document, one of a few sections and a
 * question shorter than a block. Some requests follow up on a recent prompt and add a block to it.
 * The popularity of documents follows Zipf's law, and the most popular documents change over time.
 */
final class PromptSource {
    private static final double ZIPF_EXPONENT = 1.1;
    private static final int SECTIONS = 3;
    private static final double FOLLOW_UP_SHARE = 0.25;
    private static final int RECENT_PROMPTS = 12;
    private static final int MAX_BLOCKS = 48;
    private static final long HOT_SHIFT_MILLISECONDS = 90_000;
    private static final int HOT_SHIFT_STEP = 7;
    private static final int MIN_QUESTION_TOKENS = 100;

    private final RoutePlan mPlan;
    private final long mRootHash;
    private final UniformRandomProvider mRandom;
    private final SharedStateDiscreteSampler mPopularity;
    private final List<long[]> mRecent = new ArrayList<>();
    private long mNextFollowUpId;

    PromptSource(RoutePlan plan, long rootHash, UniformRandomProvider random) {
        mPlan = plan;
        mRootHash = rootHash;
        mRandom = random;
        mPopularity = RejectionInversionZipfSampler.of(random, plan.documents(), ZIPF_EXPONENT);
    }

    PrefixChain next(long nowMilliseconds) {
        long[] blocks =
                !mRecent.isEmpty() && mRandom.nextDouble() < FOLLOW_UP_SHARE
                        ? followUp()
                        : newPrompt(nowMilliseconds);
        addRecent(blocks);
        long questionTokens =
                MIN_QUESTION_TOKENS
                        + mRandom.nextInt(PrefixChain.BLOCK_TOKENS - MIN_QUESTION_TOKENS);
        return new PrefixChain(
                BlockHashes.of(blocks), PrefixChain.tokensOf(blocks.length) + questionTokens);
    }

    private long[] newPrompt(long nowMilliseconds) {
        int hotShift = (int) (nowMilliseconds / HOT_SHIFT_MILLISECONDS) * HOT_SHIFT_STEP;
        int document = (mPopularity.sample() - 1 + hotShift) % mPlan.documents();
        int range = mPlan.maxDocumentBlocks() - mPlan.minDocumentBlocks() + 1;
        long documentHash = PrefixIndex.keyOf(mRootHash, document);
        int length = mPlan.minDocumentBlocks() + (int) Math.floorMod(documentHash, (long) range);
        long[] blocks = new long[mPlan.systemBlocks() + length + 1];
        long previous = mRootHash;
        for (int i = 0; i < blocks.length; i++) {
            previous = PrefixIndex.keyOf(previous, blockIdOf(i, document, blocks.length));
            blocks[i] = previous;
        }
        return blocks;
    }

    private long blockIdOf(int index, int document, int length) {
        if (index < mPlan.systemBlocks()) {
            return index;
        }
        boolean isSection = index == length - 1;
        return isSection ? 1_000_000L + mRandom.nextInt(SECTIONS) : 1_000L + document;
    }

    private long[] followUp() {
        long[] recent = mRecent.get(mRandom.nextInt(mRecent.size()));
        if (recent.length >= MAX_BLOCKS) {
            return recent;
        }
        long[] blocks = java.util.Arrays.copyOf(recent, recent.length + 1);
        long previous = recent[recent.length - 1];
        blocks[recent.length] = PrefixIndex.keyOf(previous, -1 - mNextFollowUpId++);
        return blocks;
    }

    private void addRecent(long[] blocks) {
        if (mRecent.size() < RECENT_PROMPTS) {
            mRecent.add(blocks);
        } else {
            mRecent.set(mRandom.nextInt(RECENT_PROMPTS), blocks);
        }
    }
}
