package org.skylarkbend.control.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.EndpointCrash;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineCodec;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.SuspectCall;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what control tells the gateways about quarantines, and when it imposes and lifts them. */
public class QuarantineTaskTest {
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final int GATEWAYS = 69;
    private static final PromptPart PART = new PromptPart("m", "p");
    private static final PartCombination COMBINATION = PartCombination.of(List.of(PART));
    private static final RouterIdentity GATEWAY = new RouterIdentity(ObjectName.of("front"), 1);

    private final BlockingQueue<QuarantineNotice> mNotices = new LinkedBlockingQueue<>();
    private final AtomicLong mNowMilliseconds = new AtomicLong();
    private Vertx mVertx;
    private QuarantineTask mTask;

    /** Log of a single member, which applies each entry at once. */
    private final class InstantLog implements ControlLog {
        private final ReplicatedSlice mSlice = QuarantineTask.slice(state -> mTask.post(state));

        @Override
        public Future<Result<byte[]>> propose(ControlEntry entry) {
            return Future.succeededFuture(
                    mSlice.apply(entry.payload(), entry.proposedEpochMilliseconds()));
        }

        @Override
        public Future<Result<Long>> confirmLeadership() {
            return Future.succeededFuture(Result.success(1L));
        }

        @Override
        public Future<LogStatus> status() {
            return Future.failedFuture("not used");
        }
    }

    @BeforeMethod
    public void startTask() throws Exception {
        mNotices.clear();
        mNowMilliseconds.set(100_000);
        mVertx = Vertx.vertx();
        mTask =
                new QuarantineTask(
                        new InstantLog(),
                        mNowMilliseconds::get,
                        mNowMilliseconds::get,
                        mNotices::add);
        await(mVertx.deployVerticle(mTask));
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    /** Guards against gateways that report for ever because a lost leader watched a part. */
    @Test
    public void aNewLeaderTellsTheGatewaysThatItWatchesNothingYet() throws Exception {
        lead(1);
        assertThat(nextNotice()).isEqualTo(QuarantineNotice.none());
    }

    @Test
    public void aPartThatCrashesEnginesIsQuarantinedAndReleasedAfterItsTime() throws Exception {
        lead(1);
        nextNotice();
        mNowMilliseconds.addAndGet(10_000);
        report(new EndpointCrash("e1", 500, calls()), 0);
        report(new EndpointCrash("e2", 100, calls()), 0);
        report(new EndpointCrash("e2", 100, calls()), 20);
        QuarantineNotice notice = noticeUntilQuarantined(true);
        assertThat(notice.remainingMilliseconds()).containsOnlyKeys(COMBINATION);
        long durationMilliseconds = notice.remainingMilliseconds().get(COMBINATION);
        mNowMilliseconds.addAndGet(durationMilliseconds - 1);
        for (QuarantineNotice later = notice;
                later != null;
                later = mNotices.poll(500, TimeUnit.MILLISECONDS)) {
            assertThat(later.remainingMilliseconds()).as("it holds").containsKey(COMBINATION);
        }
        mNowMilliseconds.addAndGet(1);
        assertThat(noticeUntilQuarantined(false).remainingMilliseconds()).isEmpty();
    }

    @Test
    public void aMemberThatDoesNotLeadProposesNothing() throws Exception {
        report(new EndpointCrash("e1", 500, calls()), 0);
        report(new EndpointCrash("e2", 100, calls()), 20);
        assertThat(mNotices.poll(500, TimeUnit.MILLISECONDS)).isNull();
    }

    /**
     * Guards against a leader that is held up for longer than an election by the reports of many
     * gateways on many crashes at once, each of which was answered to all of them.
     */
    @Test
    public void theReportsOfManyGatewaysOnTheSameCrashesAreAnsweredTogether() throws Exception {
        lead(1);
        nextNotice();
        for (int i = 0; i < GATEWAYS; i++) {
            RouterIdentity gateway = new RouterIdentity(ObjectName.of("front-" + i), 1);
            SuspectCall call = new SuspectCall("c" + i, List.of(new PromptPart("m", "p" + i)));
            CrashEvidence evidence =
                    new CrashEvidence(
                            List.of(new EndpointCrash("e1", 100, List.of(call))),
                            Map.of(),
                            Map.of("m", 20L));
            mTask.postEvidence(gateway, QuarantineCodec.encodeEvidence(evidence));
        }
        int notices = 0;
        for (QuarantineNotice notice = nextNotice();
                notice != null;
                notice = mNotices.poll(500, TimeUnit.MILLISECONDS)) {
            notices++;
        }
        assertThat(notices).isLessThan(GATEWAYS / 3);
    }

    private void lead(long term) {
        mTask.post(new Leadership(true, term, Optional.empty(), 0));
    }

    private static List<SuspectCall> calls() {
        return List.of(new SuspectCall("c", List.of(PART)));
    }

    private void report(EndpointCrash crash, long answeredCalls) {
        CrashEvidence evidence =
                new CrashEvidence(List.of(crash), Map.of(), Map.of("m", answeredCalls));
        mTask.postEvidence(GATEWAY, QuarantineCodec.encodeEvidence(evidence));
    }

    private QuarantineNotice noticeUntilQuarantined(boolean isQuarantined) throws Exception {
        QuarantineNotice notice = nextNotice();
        while (notice.remainingMilliseconds().isEmpty() == isQuarantined) {
            notice = nextNotice();
        }
        return notice;
    }

    private QuarantineNotice nextNotice() throws Exception {
        QuarantineNotice notice = mNotices.poll(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertThat(notice).as("a notice").isNotNull();
        return notice;
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
