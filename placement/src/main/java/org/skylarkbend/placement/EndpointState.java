package org.skylarkbend.placement;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;
import org.skylarkbend.placement.PlacementMessage.LoadReport;

/** State of one incarnation of an endpoint as known to one router, except for its cached blocks. */
final class EndpointState {
    private static final double MISS_RATIO_SMOOTHING_FACTOR = 0.1;
    private static final long REPORT_MAX_AGE_MILLISECONDS = 10_000;

    private final EngineIncarnation mEngine;
    private final long mHash;
    private final int mSlot;
    private final Map<String, LocalRequest> mAwaitingFirstToken = new LinkedHashMap<>();
    private ObjectName mPool;
    private Set<ObjectName> mVersions;
    private LoadReport mReport;
    private double mMissRatio = 1;
    private long mLastEventSequence = -1;
    private final double[] mLocalTokensSinceReport = new double[PlacementRequest.PRIORITIES];
    private int mLocalOpenSinceReport;

    EndpointState(EndpointAdded added, int slot, long nowMilliseconds) {
        mEngine = added.engine();
        mHash = PrefixIndex.mix(CacheScope.hashOfText(added.engine().endpoint().value()));
        mSlot = slot;
        mReport = new LoadReport(added.engine(), 0, 0, 0, nowMilliseconds);
        update(added);
    }

    void update(EndpointAdded added) {
        mPool = added.pool();
        mVersions = added.versions();
    }

    EngineIncarnation engine() {
        return mEngine;
    }

    long hash() {
        return mHash;
    }

    int slot() {
        return mSlot;
    }

    boolean serves(ObjectName pool, ObjectName version) {
        return mPool.equals(pool) && mVersions.contains(version);
    }

    /** Applies a load report, unless a newer one has already been applied. */
    void report(LoadReport report) {
        if (report.asOfMilliseconds() < mReport.asOfMilliseconds()) {
            return;
        }
        mReport = report;
        Arrays.fill(mLocalTokensSinceReport, 0);
        mLocalOpenSinceReport = 0;
        mAwaitingFirstToken.values().stream()
                .filter(this::isSentAfterReport)
                .forEach(this::addLocal);
    }

    void sent(String attempt, int priority, double uncachedTokens, long nowMilliseconds) {
        LocalRequest request = new LocalRequest(priority, uncachedTokens, nowMilliseconds);
        mAwaitingFirstToken.put(attempt, request);
        addLocal(request);
    }

    /**
     * Records that a request has received its first token or has failed, so that its prompt no
     * longer counts as backlog.
     */
    void promptProcessed(String attempt) {
        LocalRequest request = mAwaitingFirstToken.remove(attempt);
        if (request != null && isSentAfterReport(request)) {
            mLocalTokensSinceReport[request.priority()] -= request.uncachedTokens();
            mLocalOpenSinceReport--;
        }
    }

    /** Updates the moving average of the share of prompt tokens that are not in the cache. */
    void updateMissRatio(double ratio) {
        mMissRatio += MISS_RATIO_SMOOTHING_FACTOR * (ratio - mMissRatio);
    }

    /**
     * Estimates the prompt tokens that the engine processes before a request of this priority.
     *
     * <p>Tokens that the engine has processed since its report are not subtracted, because other
     * routers add about as many in the meantime. A stale report is ignored.
     *
     * @param shareAhead the share of the reported queue that has the same or a higher priority
     */
    double backlogTokens(int priority, double shareAhead, long nowMilliseconds) {
        boolean fresh = nowMilliseconds - mReport.asOfMilliseconds() < REPORT_MAX_AGE_MILLISECONDS;
        double backlog = fresh ? mReport.queuedPromptTokens() * mMissRatio * shareAhead : 0;
        for (int i = 0; i <= priority; i++) {
            backlog += mLocalTokensSinceReport[i];
        }
        return backlog;
    }

    int openRequests() {
        return mReport.running() + mReport.queued() + mLocalOpenSinceReport;
    }

    /** Records the sequence number of an event and returns whether events before it are missing. */
    boolean detectGap(long sequence) {
        boolean missing = mLastEventSequence >= 0 && sequence > mLastEventSequence + 1;
        mLastEventSequence = Math.max(mLastEventSequence, sequence);
        return missing;
    }

    /**
     * Returns whether the request was sent at or after the time of the report, which may not
     * include it.
     */
    private boolean isSentAfterReport(LocalRequest request) {
        return request.sentAtMilliseconds() >= mReport.asOfMilliseconds();
    }

    private void addLocal(LocalRequest request) {
        mLocalTokensSinceReport[request.priority()] += request.uncachedTokens();
        mLocalOpenSinceReport++;
    }

    /** A request of this router that has not received its first token. */
    private record LocalRequest(int priority, double uncachedTokens, long sentAtMilliseconds) {}
}
