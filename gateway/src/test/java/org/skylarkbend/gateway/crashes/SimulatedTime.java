package org.skylarkbend.gateway.crashes;

import java.util.PriorityQueue;

/** Runs actions in the order of their times, without waiting for them. */
final class SimulatedTime {
    /** An action at a time; actions at the same time keep their order. */
    private record Event(long atMilliseconds, long number, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMilliseconds, other.atMilliseconds);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowMilliseconds;
    private long mNumber;

    long nowMilliseconds() {
        return mNowMilliseconds;
    }

    /** Returns a number that no event has had before. */
    long nextNumber() {
        return mNumber++;
    }

    void at(long atMilliseconds, Runnable action) {
        mEvents.add(new Event(atMilliseconds, nextNumber(), action));
    }

    void after(long milliseconds, Runnable action) {
        at(mNowMilliseconds + milliseconds, action);
    }

    void runUntil(long endMilliseconds) {
        while (!mEvents.isEmpty() && mEvents.peek().atMilliseconds() < endMilliseconds) {
            Event event = mEvents.poll();
            mNowMilliseconds = event.atMilliseconds();
            event.action().run();
        }
    }
}
