package org.skylarkbend.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests the order of service, early refusal and the absence of starvation in one pool. */
public class AdmissionDeciderTest {
    private static final AdmissionLimits LIMITS = new AdmissionLimits(1_000, 500);
    private static final long BOOKING_DEADLINE_MILLISECONDS = 5_000;
    private static final long READING_DEADLINE_MILLISECONDS = 60_000;

    private static AdmissionMessage.CallArrived booking(String call) {
        return new AdmissionMessage.CallArrived(
                call, Optional.of(ObjectName.of("desk")), 1, 0, BOOKING_DEADLINE_MILLISECONDS);
    }

    private static AdmissionMessage.CallArrived reading(String call, String customer, int weight) {
        return new AdmissionMessage.CallArrived(
                call,
                Optional.of(ObjectName.of(customer)),
                weight,
                9,
                READING_DEADLINE_MILLISECONDS);
    }

    private static AdmissionMessage.CallArrived readingWithoutKey(String call) {
        return new AdmissionMessage.CallArrived(
                call, Optional.empty(), 1, 9, READING_DEADLINE_MILLISECONDS);
    }

    private static List<String> started(List<AdmissionEffect> effects) {
        return effects.stream()
                .filter(AdmissionEffect.Start.class::isInstance)
                .map(effect -> ((AdmissionEffect.Start) effect).call())
                .toList();
    }

    @Test
    public void aBookingGoesBeforeReadingsThatCameFirst() {
        AdmissionDecider queue = new AdmissionDecider(LIMITS);
        queue.decide(reading("r1", "desk", 1), 0);
        queue.decide(reading("r2", "desk", 1), 0);
        queue.decide(booking("b1"), 1);
        assertThat(started(queue.decide(new AdmissionMessage.SlotsChanged(1), 2)))
                .containsExactly("b1");
    }

    /** Guards against a queue that calls without a key share with a customer of some name. */
    @Test
    public void callsWithoutAKeyAreNotRefusedForTheCallsOfACustomer() {
        AdmissionDecider queue = new AdmissionDecider(new AdmissionLimits(1_000, 1));
        queue.decide(reading("r1", "open", 1), 0);
        assertThat(queue.decide(readingWithoutKey("k1"), 0)).isEmpty();
        assertThat(queue.decide(readingWithoutKey("k2"), 0))
                .hasOnlyElementsOfType(AdmissionEffect.Refuse.class)
                .hasSize(1);
    }

    @Test
    public void customersAreServedByTheirWeight() {
        AdmissionDecider queue = new AdmissionDecider(LIMITS);
        for (int i = 0; i < 40; i++) {
            queue.decide(reading("big-" + i, "big", 3), 0);
            queue.decide(reading("small-" + i, "small", 1), 0);
        }
        Map<String, Integer> served = new HashMap<>();
        List<String> running = started(queue.decide(new AdmissionMessage.SlotsChanged(1), 0));
        for (int i = 0; i < 40; i++) {
            String call = running.get(0);
            served.merge(call.split("-")[0], 1, Integer::sum);
            running = started(queue.decide(new AdmissionMessage.Finished(call, 10), 0));
        }
        assertThat(served.get("big")).isBetween(29, 31);
    }

    @Test
    public void aFullQueueAndAMissedDeadlineAreRefusedAtOnce() {
        AdmissionDecider queue = new AdmissionDecider(new AdmissionLimits(3, 2));
        queue.decide(new AdmissionMessage.SlotsChanged(1), 0);
        queue.decide(booking("b0"), 0);
        queue.decide(new AdmissionMessage.Finished("b0", 4_000), 0);
        assertThat(started(queue.decide(booking("b1"), 0))).containsExactly("b1");
        assertThat(queue.decide(booking("b2"), 0)).isEmpty();
        assertThat(queue.decide(booking("b3"), 0))
                .singleElement()
                .isEqualTo(
                        new AdmissionEffect.Refuse(
                                "b3",
                                "the expected wait exceeds the deadline of the route",
                                4_000));
        queue.decide(reading("r1", "a", 1), 0);
        queue.decide(reading("r2", "a", 1), 0);
        assertThat(queue.decide(reading("r3", "a", 1), 0))
                .singleElement()
                .isInstanceOf(AdmissionEffect.Refuse.class);
        assertThat(queue.decide(reading("r4", "b", 1), 0)).isEmpty();
        assertThat(queue.decide(reading("r5", "b", 1), 0))
                .singleElement()
                .isInstanceOf(AdmissionEffect.Refuse.class);
    }

    @Test
    public void everyReadingIsServedWhileBookingsKeepArriving() {
        SeededRuns.forEachSeed(
                1,
                50,
                seed -> {
                    Run run = new Run(seed);
                    run.simulate();
                    assertThat(run.mReadings).isNotEmpty();
                    assertThat(run.mStartedReadings).containsAll(run.mReadings);
                    assertThat(run.mRefusedReadings).isZero();
                });
    }

    /** Simulates bookings that alone need 112 % of the slots, with readings in between. */
    private static final class Run {
        private static final long RUN_MILLISECONDS = 120_000;
        private static final long LAST_READING_MILLISECONDS = 60_000;
        private static final int SLOTS = 4;
        private static final long SERVICE_MILLISECONDS = 100;

        private final Random mRandom;
        private final AdmissionDecider mQueue = new AdmissionDecider(LIMITS);
        private final PriorityQueue<long[]> mFinishTimes =
                new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        private final Map<Long, String> mCalls = new HashMap<>();
        private final List<String> mReadings = new ArrayList<>();
        private final List<String> mStartedReadings = new ArrayList<>();
        private int mRefusedReadings;
        private long mNextNumber;

        Run(long seed) {
            mRandom = new Random(seed);
        }

        void simulate() {
            applyEffects(mQueue.decide(new AdmissionMessage.SlotsChanged(SLOTS), 0), 0);
            for (long now = 0; now < RUN_MILLISECONDS; now += 10) {
                finishUntil(now);
                if (mRandom.nextInt(100) < 45) {
                    applyEffects(mQueue.decide(booking("b" + mNextNumber++), now), now);
                }
                if (now < LAST_READING_MILLISECONDS && mRandom.nextInt(1_000) < 20) {
                    String reading = "r" + mNextNumber++;
                    mReadings.add(reading);
                    applyEffects(mQueue.decide(reading(reading, "reader", 1), now), now);
                }
            }
        }

        private void finishUntil(long now) {
            while (!mFinishTimes.isEmpty() && mFinishTimes.peek()[0] <= now) {
                String call = mCalls.remove(mFinishTimes.poll()[1]);
                AdmissionMessage finished =
                        new AdmissionMessage.Finished(call, SERVICE_MILLISECONDS);
                applyEffects(mQueue.decide(finished, now), now);
            }
        }

        private void applyEffects(List<AdmissionEffect> effects, long now) {
            for (AdmissionEffect effect : effects) {
                if (effect instanceof AdmissionEffect.Start start) {
                    long number = mNextNumber++;
                    mCalls.put(number, start.call());
                    mFinishTimes.add(new long[] {now + SERVICE_MILLISECONDS, number});
                    if (start.call().startsWith("r")) {
                        mStartedReadings.add(start.call());
                    }
                } else if (((AdmissionEffect.Refuse) effect).call().startsWith("r")) {
                    mRefusedReadings++;
                }
            }
        }
    }
}
