package org.skylarkbend.router.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.NotLeader;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests the control link with delayed, duplicated, reordered and lost messages. */
public class ControlLinkDeciderTest {
    private static final int RUNS = 5_000;
    private static final long LEASE_MILLISECONDS = 5_000;
    private static final RouterHello HELLO =
            new RouterHello(ObjectName.of("entry-1"), ObjectName.of("a"), 1);
    private static final List<ControlAddress> ADDRESSES =
            List.of(new ControlAddress("c1", 1), new ControlAddress("c2", 2));

    @Test
    public void noRevisionGoesBackAndNoLeaseOutlivesItsHeartbeat() {
        SeededRuns.forEachSeed(1, RUNS, seed -> new Run(seed).go());
    }

    @Test
    public void aSilentLeaderIsReplacedByTheNextControlVm() {
        ControlLinkDecider link = new ControlLinkDecider(HELLO, ADDRESSES);
        assertThat(link.decide(new ControlLinkMessage.Started(), 0))
                .containsExactly(new ControlLinkEffect.Dial(ADDRESSES.get(0), 0));
        link.decide(new ControlLinkMessage.Connected(), 0);
        link.decide(new ControlLinkMessage.HeartbeatDue(), 1_000);
        assertThat(link.decide(new ControlLinkMessage.HeartbeatDue(), 3_000))
                .containsExactly(new ControlLinkEffect.Close("no lease received"));
        assertThat(link.decide(new ControlLinkMessage.Disconnected(), 3_000))
                .singleElement()
                .isInstanceOfSatisfying(
                        ControlLinkEffect.Dial.class,
                        dial -> assertThat(dial.address()).isEqualTo(ADDRESSES.get(1)));
    }

    /** Simulates a router whose control VMs partly lag behind. */
    private static final class Run {
        private static final int STEPS = 60;

        private final Random mRandom;
        private final ControlLinkDecider mLink = new ControlLinkDecider(HELLO, ADDRESSES);
        private final Map<Long, Long> mSentMilliseconds = new HashMap<>();
        private final List<FeedMessage> mUnderWay = new ArrayList<>();
        private long mNewestRevision;
        private long mServedRevision;
        private long mNowMilliseconds = 1;

        Run(long seed) {
            mRandom = new Random(seed);
        }

        void go() {
            handle(new ControlLinkMessage.Started());
            handle(new ControlLinkMessage.Connected());
            for (int step = 0; step < STEPS; step++) {
                step();
            }
        }

        private void step() {
            mNowMilliseconds += mRandom.nextInt(600);
            switch (mRandom.nextInt(6)) {
                case 0 -> mNewestRevision++;
                case 1 -> handle(new ControlLinkMessage.HeartbeatDue());
                case 2 -> reconnect();
                case 3 -> handle(new ControlLinkMessage.Received(someDocument()));
                default -> deliver();
            }
        }

        private void reconnect() {
            handle(new ControlLinkMessage.Disconnected());
            handle(new ControlLinkMessage.Connected());
        }

        private FeedMessage someDocument() {
            if (mRandom.nextInt(8) == 0) {
                return new NotLeader(java.util.Optional.of(ADDRESSES.get(0)));
            }
            long revision = 1 + mRandom.nextInt((int) mNewestRevision + 1);
            return new SetDocument(Math.min(revision, Math.max(1, mNewestRevision)), "rates: {}");
        }

        private void deliver() {
            if (!mUnderWay.isEmpty()) {
                int index = mRandom.nextInt(mUnderWay.size());
                boolean repeated = mRandom.nextInt(4) == 0;
                FeedMessage message = repeated ? mUnderWay.get(index) : mUnderWay.remove(index);
                handle(new ControlLinkMessage.Received(message));
            }
        }

        private void handle(ControlLinkMessage message) {
            mLink.decide(message, mNowMilliseconds).forEach(this::execute);
        }

        private void execute(ControlLinkEffect effect) {
            if (effect instanceof ControlLinkEffect.Send send
                    && send.message() instanceof RouterHeartbeat heartbeat) {
                mSentMilliseconds.put(heartbeat.sequence(), mNowMilliseconds);
                long behind = mRandom.nextInt(3) == 0 ? mRandom.nextInt(3) : 0;
                long revision = Math.max(0, mNewestRevision - behind);
                mUnderWay.add(new ServingLease(heartbeat.sequence(), revision, LEASE_MILLISECONDS));
            } else if (effect instanceof ControlLinkEffect.Serve serve) {
                check(serve.view());
            }
        }

        private void check(ServingView view) {
            long revision = view.published().revision();
            assertThat(revision).isGreaterThanOrEqualTo(mServedRevision);
            mServedRevision = revision;
            long lastSentMilliseconds =
                    mSentMilliseconds.values().stream().mapToLong(Long::longValue).max().orElse(0);
            assertThat(view.leaseUntilMilliseconds())
                    .isLessThanOrEqualTo(lastSentMilliseconds + LEASE_MILLISECONDS);
        }
    }
}
