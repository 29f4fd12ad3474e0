package org.skylarkbend.control.operator;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.vertx.core.Future;
import java.time.LocalDate;
import java.time.YearMonth;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.feed.FeedStatus;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.publishing.PublishResult;
import org.skylarkbend.publishing.PublishResult.Accepted;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.PublishingCodec;
import org.skylarkbend.publishing.PublishingDecider;
import org.skylarkbend.publishing.PublishingMessage;
import org.skylarkbend.publishing.PublishingMessage.Publish;
import org.skylarkbend.publishing.PublishingState;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageForecast;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.usage.UsageSnapshot;
import org.skylarkbend.usage.UsageStatement;

/**
 * The operations available to operators, independent of the front end. Confined to one task; the
 * futures of the log must complete on the context of that task.
 */
final class OperatorService {
    private static final StructuredLog LOG = StructuredLog.of(OperatorService.class);

    private final ControlLog mLog;
    private final Supplier<Future<FeedStatus>> mFeedStatus;
    private final MillisecondClock mWall;
    private final Tracer mTracer;
    private final PublishSpans mSpans;
    private final PublishingCodec mCodec = new PublishingCodec();
    private Leadership mLeadership = Leadership.unknown();
    private PublishingState mState = PublishingState.empty();
    private PublishedSet mCurrentSet = PublishedSet.empty();

    OperatorService(
            ControlLog log,
            Supplier<Future<FeedStatus>> feed,
            MillisecondClock wall,
            Tracer tracer,
            PublishSpans spans) {
        mLog = log;
        mFeedStatus = feed;
        mWall = wall;
        mTracer = tracer;
        mSpans = spans;
    }

    void leadershipChanged(Leadership leadership) {
        mLeadership = leadership;
    }

    void publishingChanged(PublishingState state, PublishedSet set) {
        mCurrentSet = set;
        mState = state;
    }

    void inForce(long revision) {
        mSpans.inForce(revision);
    }

    Leadership leadership() {
        return mLeadership;
    }

    /** Validates a set and publishes it, after a quorum has confirmed that this member leads. */
    Future<Result<PublishResult>> publish(Publish publish, Context parent) {
        return mLog.confirmLeadership()
                .compose(
                        confirmed ->
                                confirmed.fold(
                                        index -> checkAndPropose(publish, parent),
                                        error -> Future.succeededFuture(Result.failure(error))));
    }

    /** Returns the latest committed set. */
    Future<Result<PublishingState>> currentSet() {
        return mLog.confirmLeadership().map(confirmed -> confirmed.map(index -> mState));
    }

    /** Returns the status after a quorum has confirmed that this member leads. */
    Future<Result<OperatorStatus>> status() {
        return mLog.confirmLeadership()
                .compose(
                        confirmed ->
                                confirmed.fold(
                                        index -> localStatus().map(Result::success),
                                        error -> Future.succeededFuture(Result.failure(error))));
    }

    /** Returns the status as known to this member, which may be stale. */
    Future<OperatorStatus> localStatus() {
        return mLog.status()
                .compose(
                        log ->
                                mFeedStatus
                                        .get()
                                        .map(
                                                feed ->
                                                        new OperatorStatus(
                                                                mLeadership, log, mState, feed)));
    }

    /** Returns the usage statement of a month, by default of the current one. */
    Future<Result<UsageStatement>> usage(Optional<YearMonth> month) {
        return readUsage()
                .map(
                        result ->
                                result.map(
                                        usage ->
                                                UsageStatement.of(
                                                        usage,
                                                        mCurrentSet,
                                                        month.orElse(YearMonth.from(today())))));
    }

    /** Returns the forecast of the next month. */
    Future<Result<UsageForecast>> forecast() {
        return readUsage()
                .map(result -> result.map(usage -> UsageForecast.of(usage, mCurrentSet, today())));
    }

    /**
     * Reads the usage through the replicated log, so that it includes every report that was
     * acknowledged before.
     */
    private Future<Result<UsageSnapshot>> readUsage() {
        UsageCodec codec = new UsageCodec();
        byte[] read = codec.encode(new UsageMessage.ReadUsage());
        ControlEntry entry = new ControlEntry(UsageMessage.SLICE, mWall.nowMilliseconds(), read);
        return mLog.propose(entry).map(result -> result.flatMap(codec::decodeSnapshot));
    }

    private LocalDate today() {
        long days = TimeUnit.MILLISECONDS.toDays(mWall.nowMilliseconds());
        return LocalDate.ofEpochDay(days);
    }

    private Future<Result<PublishResult>> checkAndPropose(Publish publish, Context parent) {
        Optional<PublishResult> decided =
                PublishingDecider.check(mState, mCurrentSet, publish, mWall.nowMilliseconds());
        if (decided.isPresent()) {
            return Future.succeededFuture(Result.success(decided.get()));
        }
        Span span = mTracer.spanBuilder("control.commit").setParent(parent).startSpan();
        ControlEntry entry =
                new ControlEntry(
                        PublishingMessage.SLICE, mWall.nowMilliseconds(), mCodec.encode(publish));
        return mLog.propose(entry)
                .onComplete(done -> span.end())
                .map(result -> result.flatMap(mCodec::decodeResult))
                .onSuccess(result -> result.match(a -> recordResult(publish, a, parent), e -> {}));
    }

    private void recordResult(Publish publish, PublishResult result, Context parent) {
        LOG.info(
                "control.publish.answered",
                "publish_id",
                publish.publishId(),
                "base_revision",
                publish.baseRevision(),
                "answer",
                result);
        if (result instanceof Accepted accepted) {
            mSpans.accepted(accepted.revision(), parent);
        }
    }
}
