package org.skylarkbend.limits;

import java.util.PriorityQueue;

/** Runs actions in the order of their times. */
final class EventTimeline {
    /** An action at a time. */
    private record Event(long atMilliseconds, long order, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMilliseconds, other.atMilliseconds);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowMilliseconds;
    private long mCount;

    long now() {
        return mNowMilliseconds;
    }

    void at(long atMilliseconds, Runnable action) {
        mEvents.add(new Event(Math.max(atMilliseconds, mNowMilliseconds), mCount++, action));
    }

    void runUntil(long endMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() <= endMilliseconds) {
            Event event = mEvents.remove();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
    }
}
