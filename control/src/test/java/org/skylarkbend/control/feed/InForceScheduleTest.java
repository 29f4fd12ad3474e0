package org.skylarkbend.control.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.control.feed.FeedEffect.Confirm;
import org.skylarkbend.control.feed.FeedEffect.ReportInForce;
import org.skylarkbend.control.feed.FeedEffect.Send;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates two members of which one takes over the leadership from the other, and routers with
 * drifting clocks, over a network that delays and loses messages. Members pause before any input
 * and between any decision and its effects. Checks that no router serves an older revision than the
 * one reported as in force, and that each planted fault is found.
 */
public class InForceScheduleTest {
    private static final long LEASE_MILLISECONDS = 1_000;
    private static final long END_MILLISECONDS = 12_000;
    private static final int RUNS = 500;
    private static final int ROUTERS = 4;
    private static final int MEMBERS = 2;
    private static final int PAUSE_EVERY_STEPS = 300;
    private static final int MAX_PAUSE_MILLISECONDS = 3_000;

    @Test
    public void noRouterServesByAnOlderRevisionThanTheOneInForce() {
        AtomicLong servingRoutersChecked = new AtomicLong();
        AtomicLong reports = new AtomicLong();
        SeededRuns.forEachSeed(
                1,
                RUNS,
                seed -> {
                    Schedule schedule = new Schedule(seed, Fault.NONE);
                    schedule.run();
                    servingRoutersChecked.addAndGet(schedule.mServingRoutersChecked);
                    reports.addAndGet(schedule.mInForceReports);
                });
        assertThat(servingRoutersChecked.get()).as("routers that served at a report").isPositive();
        assertThat(reports.get()).as("revisions that came into force").isGreaterThan(RUNS);
    }

    @DataProvider
    public Object[][] faults() {
        return EnumSet.complementOf(EnumSet.of(Fault.NONE)).stream()
                .map(fault -> new Object[] {fault})
                .toArray(Object[][]::new);
    }

    /** Guards against schedules that no fault can fail. */
    @Test(dataProvider = "faults")
    public void eachPlantedFaultIsFound(Fault fault) {
        long found = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            try {
                new Schedule(seed, fault).run();
            } catch (AssertionError e) {
                found++;
            }
        }
        assertThat(found).as("schedules that found " + fault).isPositive();
    }

    /** A fault that is planted into the schedules. */
    private enum Fault {
        NONE,
        /** A member takes each confirmation of its leadership for a success. */
        LEASE_WITHOUT_CONFIRMATION,
        /** A new leader does not wait for the end of the leases of the former one. */
        REPORT_BEFORE_LEASES_END,
        /** A router counts its lease from the arrival, so that a pause of the member extends it. */
        LEASE_FROM_ARRIVAL
    }

    /** A scheduled action. The number orders actions with equal times. */
    private record Event(long atMilliseconds, long number, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMilliseconds, other.atMilliseconds);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** A simulated router, as seen by the feed. */
    private static final class Router {
        private final double mClockRate;
        private long mIncarnation;
        private long mRevision;
        private final Map<Long, Long> mSentMilliseconds = new HashMap<>();
        private long mSequence;
        private int mMember;
        private double mServesUntilMilliseconds;

        Router(double clockRate) {
            mClockRate = clockRate;
        }
    }

    /** One simulated run. */
    private static final class Schedule {
        private final Random mRandom;
        private final Fault mFault;
        private final long[] mPausedUntilMilliseconds = new long[MEMBERS];
        private final List<Deque<Runnable>> mSteps = new ArrayList<>();
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private final List<FeedDecider> mMembers = new ArrayList<>();
        private final List<Router> mRouters = new ArrayList<>();
        private final Map<String, Responses> mResponses = new HashMap<>();
        private long mNowMilliseconds;
        private long mEventNumber;
        private int mLeader;
        private long mRevision;
        private long mInForceReports;
        private long mServingRoutersChecked;

        Schedule(long seed, Fault fault) {
            mRandom = new Random(seed);
            mFault = fault;
            for (int i = 0; i < MEMBERS; i++) {
                FeedOptions options = FeedOptions.of(LEASE_MILLISECONDS, Map.of(), Set.of());
                mSteps.add(new ArrayDeque<>());
                mMembers.add(new FeedDecider(options));
            }
            for (int i = 0; i < ROUTERS; i++) {
                mRouters.add(new Router(0.92 + 0.16 * mRandom.nextDouble()));
            }
        }

        void run() {
            lead(0);
            for (int router = 0; router < ROUTERS; router++) {
                heartbeat(router);
            }
            after(mRandom.nextInt(2_000), this::publish);
            after(3_000 + mRandom.nextInt(4_000), () -> lead(1));
            tick();
            while (!mEvents.isEmpty() && mNowMilliseconds < END_MILLISECONDS) {
                Event event = mEvents.poll();
                mNowMilliseconds = event.atMilliseconds();
                event.action().run();
            }
        }

        private void lead(int member) {
            mLeader = member;
            for (int other = 0; other < MEMBERS; other++) {
                boolean leads = other == member;
                int recipient = other;
                long delayMilliseconds = leads ? 0 : mRandom.nextInt(4_000);
                after(
                        delayMilliseconds,
                        () ->
                                decide(
                                        recipient,
                                        new FeedInput.LeadershipChanged(leads, Optional.empty())));
            }
            decide(member, new FeedInput.RevisionCommitted(mRevision, "set"));
        }

        private void publish() {
            mRevision++;
            long revision = mRevision;
            decide(mLeader, new FeedInput.RevisionCommitted(revision, "set"));
            after(300 + mRandom.nextInt(1_500), this::publish);
        }

        private void tick() {
            for (int member = 0; member < MEMBERS; member++) {
                decide(member, new FeedInput.TimePassed());
            }
            after(50, this::tick);
        }

        /**
         * Sends a heartbeat. A router stays with a member for a while, even if another one leads.
         */
        private void heartbeat(int number) {
            Router router = mRouters.get(number);
            if (mRandom.nextInt(60) == 0) {
                router.mIncarnation++;
                router.mServesUntilMilliseconds = 0;
            }
            router.mSequence++;
            router.mSentMilliseconds.put(router.mSequence, mNowMilliseconds);
            if (mRandom.nextInt(15) == 0) {
                router.mMember = mRandom.nextInt(MEMBERS);
            }
            sendHeartbeat(number, router, router.mMember);
            after(80 + mRandom.nextInt(60), () -> heartbeat(number));
        }

        private void sendHeartbeat(int number, Router router, int member) {
            long connection = number + ROUTERS * router.mIncarnation;
            long incarnation = router.mIncarnation;
            long sequence = router.mSequence;
            long revision = router.mRevision;
            Responses responses = new Responses(router, incarnation, member);
            overNetwork(
                    () -> {
                        ObjectName vm = ObjectName.of("entry-" + number);
                        ObjectName centre = ObjectName.of("thies-a");
                        sent(
                                member,
                                connection,
                                new RouterHello(vm, centre, incarnation),
                                responses);
                        sent(
                                member,
                                connection,
                                new RouterHeartbeat(sequence, revision),
                                responses);
                    });
        }

        private void sent(int member, long connection, FeedMessage message, Responses responses) {
            mResponses.put(member + ":" + connection, responses);
            decide(member, new FeedInput.RouterSent(connection, message));
        }

        private void decide(int member, FeedInput input) {
            mSteps.get(member).add(() -> decideNow(member, input));
            step(member);
        }

        private void decideNow(int member, FeedInput input) {
            long now = mNowMilliseconds;
            if (mFault == Fault.REPORT_BEFORE_LEASES_END
                    && input instanceof FeedInput.LeadershipChanged) {
                now -= 2 * LEASE_MILLISECONDS;
            }
            List<FeedEffect> effects = mMembers.get(member).decide(input, now);
            for (int i = effects.size() - 1; i >= 0; i--) {
                FeedEffect effect = effects.get(i);
                mSteps.get(member).addFirst(() -> execute(member, effect));
            }
        }

        /** Runs the next steps of a member, each of which may be preceded by a pause. */
        private void step(int member) {
            Deque<Runnable> steps = mSteps.get(member);
            while (!steps.isEmpty() && mNowMilliseconds >= mPausedUntilMilliseconds[member]) {
                if (mRandom.nextInt(PAUSE_EVERY_STEPS) == 0) {
                    long milliseconds = 1 + mRandom.nextInt(MAX_PAUSE_MILLISECONDS);
                    mPausedUntilMilliseconds[member] = mNowMilliseconds + milliseconds;
                    after(milliseconds, () -> step(member));
                    return;
                }
                steps.poll().run();
            }
        }

        private void execute(int member, FeedEffect effect) {
            if (effect instanceof Confirm confirm) {
                after(mRandom.nextInt(300), () -> askQuorum(member, confirm.confirmation()));
            } else if (effect instanceof Send send) {
                Responses responses = mResponses.get(member + ":" + send.connection());
                overNetwork(() -> responses.receive(send));
            } else if (effect instanceof ReportInForce report) {
                mInForceReports++;
                checkInForce(report.revision());
            }
        }

        /** Determines now whether the member leads, and delivers the result later. */
        private void askQuorum(int member, long confirmation) {
            boolean leads = member == mLeader || mFault == Fault.LEASE_WITHOUT_CONFIRMATION;
            after(
                    mRandom.nextInt(300),
                    () -> decide(member, new FeedInput.ConfirmationEnded(confirmation, leads)));
        }

        private void checkInForce(long revision) {
            for (Router router : mRouters) {
                boolean serves = mNowMilliseconds < router.mServesUntilMilliseconds;
                mServingRoutersChecked += serves ? 1 : 0;
                assertThat(serves && router.mRevision < revision)
                        .as("a router serves by " + router.mRevision + ", in force: " + revision)
                        .isFalse();
            }
        }

        private void overNetwork(Runnable arrival) {
            if (mRandom.nextInt(10) > 0) {
                after(mRandom.nextInt(mRandom.nextInt(10) == 0 ? 900 : 60), arrival);
            }
        }

        private void after(long milliseconds, Runnable action) {
            mEvents.add(new Event(mNowMilliseconds + milliseconds, mEventNumber++, action));
        }

        /** Receives the messages that a member sends in response to one heartbeat of a router. */
        private final class Responses {
            private final Router mRouter;
            private final long mIncarnation;
            private final int mMember;

            Responses(Router router, long incarnation, int member) {
                mRouter = router;
                mIncarnation = incarnation;
                mMember = member;
            }

            void receive(Send send) {
                if (mRouter.mIncarnation != mIncarnation) {
                    return;
                }
                if (send.message() instanceof ServingLease lease) {
                    lease(send.connection(), lease);
                } else if (send.message() instanceof SetDocument document) {
                    mRouter.mRevision = Math.max(mRouter.mRevision, document.revision());
                }
            }

            /**
             * Applies a lease from the sending of the heartbeat if the router has the revision of
             * the lease. Otherwise requests the set.
             */
            private void lease(long connection, ServingLease lease) {
                if (lease.revision() > mRouter.mRevision) {
                    SetRequest request = new SetRequest(mRouter.mRevision);
                    overNetwork(() -> sent(mMember, connection, request, this));
                } else {
                    long sentMilliseconds =
                            mFault == Fault.LEASE_FROM_ARRIVAL
                                    ? mNowMilliseconds
                                    : mRouter.mSentMilliseconds.get(lease.sequence());
                    double ownMilliseconds = lease.leaseMilliseconds() / mRouter.mClockRate;
                    mRouter.mServesUntilMilliseconds =
                            Math.max(
                                    mRouter.mServesUntilMilliseconds,
                                    sentMilliseconds + ownMilliseconds);
                }
            }
        }
    }
}
