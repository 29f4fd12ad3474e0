package org.skylarkbend.replay.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Event loop on simulated time. Actions run in order of time; actions of equal time run in the
 * order in which they were scheduled.
 */
final class EventLoop {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMilliseconds)
                            .thenComparingLong(Event::sequence));
    private long mNowMilliseconds;
    private long mSequence;

    long nowMilliseconds() {
        return mNowMilliseconds;
    }

    void scheduleAt(long atMilliseconds, Runnable action) {
        mEvents.add(new Event(Math.max(atMilliseconds, mNowMilliseconds), mSequence++, action));
    }

    void scheduleAfter(long milliseconds, Runnable action) {
        scheduleAt(mNowMilliseconds + milliseconds, action);
    }

    /** Runs all actions up to and including a time and advances the clock to it. */
    void runUntil(long endMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= endMilliseconds) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
        mNowMilliseconds = Math.max(mNowMilliseconds, endMilliseconds);
    }

    /** A scheduled action. */
    private record Event(long atMilliseconds, long sequence, Runnable action) {}
}
