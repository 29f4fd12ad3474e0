package org.skylarkbend.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * One call, what stood beside it, and what decided its outcome.
 *
 * @param call lines about the call
 * @param surroundings what stood beside it
 * @param verdict what decided the outcome
 */
public record CallStory(CallTrace call, Surroundings surroundings, Verdict verdict) {
    /** Returns the story of a call. */
    public static CallStory of(CallTrace call, Surroundings surroundings) {
        return new CallStory(call, surroundings, CallJudge.judge(call, surroundings));
    }

    /** Returns the steps before and during the call, in order of time. */
    public List<StoryEntry> entries() {
        List<StoryEntry> entries = new ArrayList<>();
        call.arrivedMicroseconds()
                .ifPresent(
                        time ->
                                entries.add(
                                        new StoryEntry(
                                                StoryEntry.Role.ARRIVAL,
                                                OptionalLong.of(time),
                                                call.last().line())));
        call.events()
                .forEach(
                        event ->
                                entries.add(
                                        new StoryEntry(
                                                StoryEntry.Role.CALL,
                                                call.timeOf(event.line()),
                                                event.line())));
        surroundings.during().stream()
                .filter(belief -> !entries.stream().anyMatch(e -> e.line().equals(belief.line())))
                .map(CallStory::entry)
                .toList()
                .forEach(entries::add);
        surroundings
                .notes()
                .forEach(
                        note ->
                                entries.add(
                                        new StoryEntry(
                                                StoryEntry.Role.LIBRARY,
                                                OptionalLong.of(note.timeMicroseconds()),
                                                note.line())));
        entries.sort(Comparator.comparingLong(e -> e.timeMicroseconds().orElse(Long.MAX_VALUE)));
        return List.copyOf(entries);
    }

    /** Returns what the processes had believed before the time that the story looks at. */
    public List<StoryEntry> entriesBefore() {
        return surroundings.before().stream().map(CallStory::entry).toList();
    }

    private static StoryEntry entry(Belief belief) {
        return new StoryEntry(
                StoryEntry.Role.BELIEF, OptionalLong.of(belief.timeMicroseconds()), belief.line());
    }
}
