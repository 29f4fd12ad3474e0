package org.skylarkbend.replay.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.replay.trace.TraceRequest;

/** Collects the measures of a policy during a replay. */
public final class RunMeasures {
    /** Length of a window of the hit rate over time. */
    public static final long WINDOW_MILLISECONDS = 10_000;

    private static final int HISTOGRAM_DIGITS = 3;

    private final Histogram mWaitHistogram = new Histogram(HISTOGRAM_DIGITS);
    private final Map<ObjectName, CustomerCounts> mCustomers = new TreeMap<>();
    private final Map<Integer, Histogram> mWaitHistogramByPriority = new TreeMap<>();
    private final List<long[]> mWindows = new ArrayList<>();
    private long mPromptTokens;
    private long mCachedTokens;
    private long mWastedTokens;
    private long mServed;
    private long mRefusedByRate;
    private long mRefusedInsideRate;

    /** Records a request that produced its first token. */
    public void recordServed(
            TraceRequest request, int priority, long waitedMilliseconds, int cachedBlocks) {
        long cachedTokens = PrefixChain.tokensOf(cachedBlocks);
        long promptTokens = request.chain().promptTokens();
        mServed++;
        mPromptTokens += promptTokens;
        mCachedTokens += cachedTokens;
        mWaitHistogram.recordValue(waitedMilliseconds);
        counts(request.customer()).mCustomerWaitHistogram.recordValue(waitedMilliseconds);
        counts(request.customer()).mRequests++;
        mWaitHistogramByPriority
                .computeIfAbsent(priority, p -> new Histogram(HISTOGRAM_DIGITS))
                .recordValue(waitedMilliseconds);
        long[] window = window(request.atMilliseconds());
        window[0] += cachedTokens;
        window[1] += promptTokens;
    }

    /** Records tokens that were computed although an engine had computed them before. */
    public void recordWasted(long tokens) {
        mWastedTokens += tokens;
    }

    /** Records a request refused by its customer's rate limit. */
    public void recordRefusedByRate(TraceRequest request) {
        mRefusedByRate++;
        recordRefused(request);
    }

    /** Records a request refused although its customer was within its rate limit. */
    public void recordRefusedInsideRate(TraceRequest request) {
        mRefusedInsideRate++;
        recordRefused(request);
    }

    /** Returns the measures collected so far. */
    public PolicyResult result(String policy) {
        List<CustomerResult> customers =
                mCustomers.entrySet().stream()
                        .map(entry -> entry.getValue().result(entry.getKey()))
                        .toList();
        Map<Integer, Long> p99ByPriority = new TreeMap<>();
        mWaitHistogramByPriority.forEach(
                (priority, waitHistogram) ->
                        p99ByPriority.put(priority, percentileOf(waitHistogram, 99)));
        return new PolicyResult(
                policy,
                mServed,
                mPromptTokens == 0 ? 0 : (double) mCachedTokens / mPromptTokens,
                percentiles(),
                mWastedTokens,
                mRefusedByRate,
                mRefusedInsideRate,
                customers,
                p99ByPriority,
                hitRates());
    }

    private void recordRefused(TraceRequest request) {
        counts(request.customer()).mRequests++;
        counts(request.customer()).mRefused++;
    }

    private CustomerCounts counts(ObjectName customer) {
        return mCustomers.computeIfAbsent(customer, c -> new CustomerCounts());
    }

    private long[] window(long atMilliseconds) {
        int index = (int) (atMilliseconds / WINDOW_MILLISECONDS);
        while (mWindows.size() <= index) {
            mWindows.add(new long[2]);
        }
        return mWindows.get(index);
    }

    private List<Long> percentiles() {
        List<Long> values = new ArrayList<>();
        for (int percentile = 1; percentile <= 99; percentile++) {
            values.add(percentileOf(mWaitHistogram, percentile));
        }
        return values;
    }

    private List<Double> hitRates() {
        return mWindows.stream().map(w -> w[1] == 0 ? 0.0 : (double) w[0] / w[1]).toList();
    }

    private static long percentileOf(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile);
    }

    /** Counters of a customer. */
    private static final class CustomerCounts {
        private final Histogram mCustomerWaitHistogram = new Histogram(HISTOGRAM_DIGITS);
        private long mRequests;
        private long mRefused;

        CustomerResult result(ObjectName customer) {
            double refusedShare = mRequests == 0 ? 0 : (double) mRefused / mRequests;
            return new CustomerResult(
                    customer, mRequests, percentileOf(mCustomerWaitHistogram, 95), refusedShare);
        }
    }
}
