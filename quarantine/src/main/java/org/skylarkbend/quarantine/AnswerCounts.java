package org.skylarkbend.quarantine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Counts the answers of a site to calls with prompts, from the running totals of its gateways. A
 * gateway reports often only after a crash, so an answer counts from the first report after the
 * time in question: the result is never too high. The state is confined to one task.
 */
final class AnswerCounts {
    /** A gateway and a model. */
    private record Source(String gateway, String model) {}

    /** Running total of a source at the time of a report. */
    private record Total(long atMilliseconds, long calls) {}

    private final Map<Source, Deque<Total>> mTotals = new HashMap<>();

    void clear() {
        mTotals.clear();
    }

    /** Adds the running totals of a gateway by model. */
    void add(String gateway, Map<String, Long> totals, long nowMilliseconds) {
        totals.forEach(
                (model, calls) -> {
                    Deque<Total> known =
                            mTotals.computeIfAbsent(
                                    new Source(gateway, model), key -> new ArrayDeque<>());
                    if (isUnchangedSinceTwo(known, calls)) {
                        known.removeLast();
                    }
                    known.add(new Total(nowMilliseconds, calls));
                });
    }

    /** Of equal totals only the first and the last are needed. */
    private static boolean isUnchangedSinceTwo(Deque<Total> totals, long calls) {
        if (totals.size() < 2 || totals.getLast().calls() != calls) {
            return false;
        }
        Iterator<Total> newestFirst = totals.descendingIterator();
        newestFirst.next();
        return newestFirst.next().calls() == calls;
    }

    /** Returns how many calls of a model were certainly answered since a time. */
    long since(String model, long sinceMilliseconds) {
        return mTotals.entrySet().stream()
                .filter(entry -> entry.getKey().model().equals(model))
                .mapToLong(entry -> since(entry.getValue(), sinceMilliseconds))
                .sum();
    }

    private static long since(Deque<Total> totals, long sinceMilliseconds) {
        return totals.stream()
                .filter(total -> total.atMilliseconds() >= sinceMilliseconds)
                .findFirst()
                .map(first -> totals.getLast().calls() - first.calls())
                .orElse(0L);
    }

    /** Forgets reports from before a time. */
    void removeBefore(long oldestMilliseconds) {
        mTotals.values()
                .forEach(
                        totals ->
                                totals.removeIf(
                                        total -> total.atMilliseconds() < oldestMilliseconds));
        mTotals.values().removeIf(Deque::isEmpty);
    }
}
