package org.skylarkbend.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Collects what stands beside a call from all lines, in any order, with bounded memory. To be
 * confined to one thread.
 */
public final class SurroundingsCollector {
    /** More lines beside a call than a person reads. */
    private static final int MAX_LINES = 400;

    /** Causes of failed attempts at an endpoint that are counted apart. */
    private static final int MAX_CAUSES = 20;

    /** The largest fleet has less than a thousand processes. */
    private static final int MAX_PROCESSES = 4_096;

    private final CallTrace mCall;
    private final long mFromMicroseconds;
    private final long mToMicroseconds;
    private final long mArrivedMicroseconds;
    private final Map<String, Belief> mBefore = new LinkedHashMap<>();
    private final List<Belief> mDuring = new ArrayList<>();
    private final List<LibraryNote> mNotes = new ArrayList<>();
    private final Map<String, Tally> mTallies = new TreeMap<>();
    private final Map<String, ProcessCoverage> mProcesses = new TreeMap<>();
    private Optional<Belief> mNewestCatalog = Optional.empty();
    private long mLeftOut;

    private static final class Tally {
        private int mServed;
        private int mNotServed;
        private final TreeMap<String, Integer> mFailedAttempts = new TreeMap<>();
    }

    /**
     * Creates a collector.
     *
     * @param call the call
     * @param aroundMicroseconds time before its arrival and after its last line to look at
     */
    public SurroundingsCollector(CallTrace call, long aroundMicroseconds) {
        mCall = call;
        mArrivedMicroseconds = call.arrivedMicroseconds().orElse(Long.MIN_VALUE);
        boolean isTimed = call.arrivedMicroseconds().isPresent();
        mFromMicroseconds = isTimed ? mArrivedMicroseconds - aroundMicroseconds : Long.MAX_VALUE;
        mToMicroseconds =
                isTimed
                        ? call.endedMicroseconds().getAsLong() + aroundMicroseconds
                        : Long.MIN_VALUE;
        call.endpoints().forEach(endpoint -> mTallies.put(endpoint, new Tally()));
    }

    /** Takes a line into account. */
    public void accept(LogLine line) {
        boolean isEvent = line instanceof LogLine.Event;
        if (!isEvent && !(line instanceof LogLine.Library)) {
            return;
        }
        OptionalLong time = mCall.timeOf(line);
        Optional<BeliefTopic> topic =
                isEvent ? BeliefTopic.of((LogLine.Event) line) : Optional.empty();
        cover(line, time, topic);
        if (time.isEmpty()) {
            return;
        }
        if (isEvent) {
            LogLine.Event event = (LogLine.Event) line;
            topic.ifPresent(t -> acceptBelief(new Belief(t, time.getAsLong(), event)));
            if (isInWindow(time.getAsLong())) {
                count(event);
            }
        } else if (isInWindow(time.getAsLong())) {
            acceptNote(new LibraryNote(time.getAsLong(), (LogLine.Library) line));
        }
    }

    /** Returns what was collected. */
    public Surroundings collected() {
        return new Surroundings(
                sorted(mBefore.values().stream().toList()),
                sorted(mDuring),
                mNotes.stream()
                        .sorted(Comparator.comparingLong(LibraryNote::timeMicroseconds))
                        .toList(),
                mLeftOut,
                mTallies.entrySet().stream()
                        .map(entry -> tally(entry.getKey(), entry.getValue()))
                        .toList(),
                List.copyOf(mProcesses.values()),
                mNewestCatalog);
    }

    private static List<Belief> sorted(List<Belief> beliefs) {
        return beliefs.stream().sorted(Comparator.comparingLong(Belief::timeMicroseconds)).toList();
    }

    private boolean isInWindow(long timeMicroseconds) {
        return timeMicroseconds >= mFromMicroseconds && timeMicroseconds <= mToMicroseconds;
    }

    private void cover(LogLine line, OptionalLong time, Optional<BeliefTopic> topic) {
        String process = line.origin().process();
        if (mProcesses.size() >= MAX_PROCESSES && !mProcesses.containsKey(process)) {
            return;
        }
        long inWindow = time.isPresent() && isInWindow(time.getAsLong()) ? 1 : 0;
        boolean isControl = topic.map(BeliefTopic::isOfControl).orElse(false);
        mProcesses.merge(
                process,
                new ProcessCoverage(process, inWindow, isControl),
                (a, b) ->
                        new ProcessCoverage(
                                process,
                                a.linesInWindow() + b.linesInWindow(),
                                a.isControl() || b.isControl()));
    }

    private void acceptBelief(Belief belief) {
        if (belief.timeMicroseconds() <= mArrivedMicroseconds
                && catalogNumber(belief) > mNewestCatalog.map(b -> catalogNumber(b)).orElse(-1L)) {
            mNewestCatalog = Optional.of(belief);
        }
        if (!belief.topic().concerns(mCall, belief.line())) {
            return;
        }
        if (isInWindow(belief.timeMicroseconds())) {
            if (hasRoom()) {
                mDuring.add(belief);
            }
        } else if (belief.timeMicroseconds() < mFromMicroseconds) {
            String key = keyOf(belief);
            if (mBefore.size() >= MAX_LINES && !mBefore.containsKey(key)) {
                mLeftOut++;
                return;
            }
            mBefore.merge(
                    key, belief, (a, b) -> a.timeMicroseconds() > b.timeMicroseconds() ? a : b);
        }
    }

    private static long catalogNumber(Belief belief) {
        boolean isCatalog =
                belief.line().name().equals("catalog.in_force")
                        || belief.line().name().equals("site.catalog");
        return isCatalog ? belief.line().number("number").orElse(-1) : -1;
    }

    /** The state of the site is one for all control processes, that of gateways is their own. */
    private static String keyOf(Belief belief) {
        String owner = belief.topic().isOfControl() ? "" : belief.process();
        LogLine.Event line = belief.line();
        String subject = line.text("endpoint") + ' ' + line.text("parts") + ' ' + line.text("of");
        return belief.topic() + " " + owner + ' ' + subject;
    }

    private void acceptNote(LibraryNote note) {
        boolean isProblem =
                note.line().level().equals("ERROR") || note.line().level().equals("WARN");
        if (isProblem && mCall.processes().contains(note.line().origin().process()) && hasRoom()) {
            mNotes.add(note);
        }
    }

    private boolean hasRoom() {
        boolean hasRoom = mDuring.size() + mNotes.size() < MAX_LINES;
        mLeftOut += hasRoom ? 0 : 1;
        return hasRoom;
    }

    private void count(LogLine.Event line) {
        Tally tally = mTallies.get(line.text("endpoint"));
        if (tally == null) {
            return;
        }
        if (line.name().equals("call.ended")) {
            boolean isServed = CallEvent.Ended.of(line).isServed();
            tally.mServed += isServed ? 1 : 0;
            tally.mNotServed += isServed ? 0 : 1;
        } else if (line.name().equals("attempt.failed")) {
            String key = line.text("outcome") + ": " + line.text("cause");
            if (tally.mFailedAttempts.size() < MAX_CAUSES
                    || tally.mFailedAttempts.containsKey(key)) {
                tally.mFailedAttempts.merge(key, 1, Integer::sum);
            }
        }
    }

    private static EndpointTally tally(String endpoint, Tally tally) {
        return new EndpointTally(
                endpoint, tally.mServed, tally.mNotServed, new TreeMap<>(tally.mFailedAttempts));
    }
}
