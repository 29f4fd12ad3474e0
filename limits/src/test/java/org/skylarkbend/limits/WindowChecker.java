package org.skylarkbend.limits;

import java.util.Map;
import java.util.TreeMap;

/** Finds the maximum use of tokens beyond the rate, exactly and over all windows. */
final class WindowChecker {
    private static final long THOUSANDTHS_PER_TOKEN = 1_000;

    private final TreeMap<Long, Long> mTokensByMillisecond = new TreeMap<>();

    void used(long atMilliseconds, long tokens) {
        mTokensByMillisecond.merge(atMilliseconds, tokens, Long::sum);
    }

    long totalTokens() {
        return mTokensByMillisecond.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the largest sum of a window, closed at both ends, less the rate times its length. */
    long maxTokensBeyondRate(long tokensPerSecond) {
        long sumThousandths = 0;
        long minBefore = Long.MAX_VALUE;
        long maxThousandths = 0;
        for (Map.Entry<Long, Long> entry : mTokensByMillisecond.entrySet()) {
            long filled = tokensPerSecond * entry.getKey();
            minBefore = Math.min(minBefore, sumThousandths - filled);
            sumThousandths += entry.getValue() * THOUSANDTHS_PER_TOKEN;
            maxThousandths = Math.max(maxThousandths, sumThousandths - filled - minBefore);
        }
        return (maxThousandths + THOUSANDTHS_PER_TOKEN - 1) / THOUSANDTHS_PER_TOKEN;
    }
}
