package org.skylarkbend.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The lines about one call, in order of time.
 *
 * @param id ID of the call
 * @param scale clock by which the lines are ordered
 * @param events decoded lines, at least one
 */
public record CallTrace(String id, TimeScale scale, List<CallEvent> events) {
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

    /** Returns the trace of the call, or empty if no line is about it. */
    public static Optional<CallTrace> of(String id, List<CallEvent> events) {
        if (events.isEmpty()) {
            return Optional.empty();
        }
        boolean isSimulated =
                events.stream().allMatch(event -> has(TimeScale.SIMULATED, event.line()));
        TimeScale scale = isSimulated ? TimeScale.SIMULATED : TimeScale.WALL;
        Comparator<CallEvent> byTime =
                Comparator.comparingLong(
                        event ->
                                scale.microsecondsOf(event.line().origin()).orElse(Long.MAX_VALUE));
        return Optional.of(new CallTrace(id, scale, events.stream().sorted(byTime).toList()));
    }

    private static boolean has(TimeScale scale, LogLine line) {
        return scale.microsecondsOf(line.origin()).isPresent();
    }

    /** Returns the time at which the call arrived, by the lines that say how old it was. */
    public OptionalLong arrivedMicroseconds() {
        return events.stream().map(this::arrivalBy).flatMapToLong(OptionalLong::stream).min();
    }

    /** Returns the time of the last line. */
    public OptionalLong endedMicroseconds() {
        return events.stream().flatMapToLong(event -> timeOf(event.line()).stream()).max();
    }

    private OptionalLong arrivalBy(CallEvent event) {
        OptionalLong time = timeOf(event.line());
        return time.isEmpty()
                ? time
                : OptionalLong.of(
                        time.getAsLong()
                                - event.elapsedMilliseconds().orElse(0)
                                        * MICROSECONDS_PER_MILLISECOND);
    }

    /** Returns the time of a line by the clock of the story. */
    public OptionalLong timeOf(LogLine line) {
        return scale.microsecondsOf(line.origin());
    }

    /** Returns the processes that have a line about the call. */
    public Set<String> processes() {
        return events.stream()
                .map(event -> event.line().origin().process())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the endpoints that the lines name. */
    public Set<String> endpoints() {
        return events.stream()
                .flatMap(event -> event.endpoint().stream())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the line that says how the call ended, or the last one if none does. */
    public CallEvent last() {
        return events.stream()
                .filter(CallEvent::isLast)
                .reduce((earlier, later) -> later)
                .orElse(events.get(events.size() - 1));
    }

    /** Returns the events of a type, in order of time. */
    public <E extends CallEvent> List<E> eventsOf(Class<E> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
