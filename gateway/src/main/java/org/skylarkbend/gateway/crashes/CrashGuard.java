package org.skylarkbend.gateway.crashes;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.SuspectCall;

/**
 * Reports the crashes of engines to control and knows which parts of prompts are quarantined.
 *
 * <p>A gateway sees few of the crashes of a site, so it leaves the verdict to control. Without
 * control it keeps to the last notice. Confined to the task that serves the calls.
 */
public final class CrashGuard {
    private static final StructuredLog LOG = StructuredLog.of(CrashGuard.class);

    /** Interval of reports while a crash is recent, as reports may be lost. */
    private static final long REPORT_MILLISECONDS = 500;

    private final CrashRecorder mRecorder = new CrashRecorder();
    private final ServedParts mServed = new ServedParts();
    private final Consumer<CrashEvidence> mLeader;
    private final Counter mCrashes;
    private final Counter mQuarantined;
    private final Map<PartCombination, Long> mUntilMilliseconds = new HashMap<>();
    private QuarantineNotice mNotice = QuarantineNotice.none();
    private boolean mChanged;
    private long mReportedMilliseconds = Long.MIN_VALUE / 2;

    /**
     * Creates a guard without quarantined parts.
     *
     * @param leader sends a report to the leader of control, without guaranteed delivery
     * @param metrics registry of the metrics
     */
    public CrashGuard(Consumer<CrashEvidence> leader, MetricRegistry metrics) {
        mLeader = leader;
        mCrashes = metrics.counter("gateway_endpoint_crashes");
        mQuarantined = metrics.counter("gateway_quarantined_combinations");
    }

    /** Handles a notice of control. */
    public void noticeReceived(QuarantineNotice notice, long nowMilliseconds) {
        LOG.info(
                "quarantine.notice",
                "watched",
                notice.watched().size(),
                "quarantined",
                notice.remainingMilliseconds().size());
        mQuarantined.inc(
                notice.remainingMilliseconds().size() - mNotice.remainingMilliseconds().size());
        mChanged |= !notice.watched().equals(mNotice.watched());
        mNotice = notice;
        mUntilMilliseconds.clear();
        notice.remainingMilliseconds()
                .forEach(
                        (combination, remainingMilliseconds) ->
                                mUntilMilliseconds.put(
                                        combination, nowMilliseconds + remainingMilliseconds));
        reportIfDue(nowMilliseconds);
    }

    /**
     * Returns the time until a call with these parts may come back, if they are quarantined; at
     * least 1. A quarantine holds until control lifts it, also beyond its expected end.
     */
    public OptionalLong quarantinedMilliseconds(
            Supplier<List<PromptPart>> callParts, long nowMilliseconds) {
        if (mUntilMilliseconds.isEmpty()) {
            return OptionalLong.empty();
        }
        List<PromptPart> parts = callParts.get();
        return mUntilMilliseconds.entrySet().stream()
                .filter(quarantined -> quarantined.getKey().isIn(parts))
                .mapToLong(quarantined -> Math.max(1, quarantined.getValue() - nowMilliseconds))
                .max();
    }

    /**
     * Records that an endpoint answered a call.
     *
     * @param subject model that read the prompt, or service of a call without a prompt
     * @param sharedParts parts that other calls may share
     * @param ownParts returns the parts that only repetitions of the call share
     * @param nowMilliseconds current time
     */
    public void served(
            String subject,
            List<PromptPart> sharedParts,
            Supplier<List<PromptPart>> ownParts,
            long nowMilliseconds) {
        mServed.served(subject, sharedParts, nowMilliseconds);
        if (!mNotice.watched().isEmpty()) {
            mServed.addWatched(ownParts.get(), mNotice.watched(), nowMilliseconds);
        }
        mChanged |= !mNotice.watched().isEmpty();
    }

    /** Records that the connection of a waiting call broke. */
    public void connectionBroke(Endpoint endpoint, SuspectCall call, long nowMilliseconds) {
        mChanged |= mRecorder.connectionBroke(endpoint, call, nowMilliseconds);
    }

    /** Records that a waiting call was taken back from an endpoint, which may have crashed. */
    public void waitedInVain(Endpoint endpoint, SuspectCall call) {
        mChanged |= mRecorder.waitedInVain(endpoint, call);
    }

    /** Records that an endpoint accepted a connection. */
    public void connected(Endpoint endpoint) {
        mRecorder.connected(endpoint);
    }

    /** Records that an endpoint accepted no connection. */
    public void refusedConnection(Endpoint endpoint, long nowMilliseconds) {
        if (mRecorder.refusedConnection(endpoint, nowMilliseconds)) {
            mCrashes.inc();
            mChanged = true;
            reportIfDue(nowMilliseconds);
        }
    }

    /** Sends a report if there is anything new, or if a recent one may have been lost. */
    public void reportIfDue(long nowMilliseconds) {
        boolean isRepeatDue = nowMilliseconds - mReportedMilliseconds >= REPORT_MILLISECONDS;
        boolean hasRepeat = !mNotice.watched().isEmpty() || mRecorder.hasCrashes(nowMilliseconds);
        if (mChanged || isRepeatDue && hasRepeat) {
            mChanged = false;
            mReportedMilliseconds = nowMilliseconds;
            mLeader.accept(
                    new CrashEvidence(
                            mRecorder.crashes(nowMilliseconds),
                            mServed.servedAgesMilliseconds(mNotice.watched(), nowMilliseconds),
                            mServed.answeredCalls()));
        }
    }
}
