package org.skylarkbend.ctl;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.explain.CallEvent;
import org.skylarkbend.explain.CallStory;
import org.skylarkbend.explain.EndpointTally;
import org.skylarkbend.explain.Evidence;
import org.skylarkbend.explain.LogLine;
import org.skylarkbend.explain.ReadSummary;
import org.skylarkbend.explain.StaleBelief;
import org.skylarkbend.explain.StoryEntry;
import org.skylarkbend.explain.TimeScale;
import org.skylarkbend.explain.Verdict;

/** Formats the story of a call for a terminal. */
final class StoryText {
    private static final int MICROSECONDS_PER_SECOND = 1_000_000;
    private static final DateTimeFormatter WALL_TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS", Locale.ROOT);

    /** Fields that the story says already, or that are too long to read. */
    private static final Set<String> HIDDEN = Set.of("source", "id", "calls");

    private final CallStory mStory;
    private final StringBuilder mText = new StringBuilder();

    private StoryText(CallStory story) {
        mStory = story;
    }

    static String of(String id, LogFiles.Reading reading) {
        return reading.story()
                .map(story -> new StoryText(story).text())
                .orElse("no line is about the call " + printable(id) + "\n")
                .concat(readText(reading.summaries()));
    }

    private String text() {
        boolean isSimulated = mStory.call().scale() == TimeScale.SIMULATED;
        mText.append("call ").append(printable(mStory.call().id())).append('\n');
        mText.append(
                isSimulated
                        ? "times: seconds of the simulated day\n"
                        : "times: the clock of each machine; lines of different machines may be"
                                + " out of order by the difference of their clocks\n");
        section("known before");
        mStory.entriesBefore().forEach(entry -> entry(' ', entry));
        section("in order of time (* the call, + what stood beside it)");
        mStory.entries()
                .forEach(entry -> entry(entry.role() == StoryEntry.Role.BELIEF ? '+' : '*', entry));
        if (!mStory.surroundings().tallies().isEmpty()) {
            section("all calls at its endpoints in that time, in these logs");
            mStory.surroundings().tallies().forEach(this::tally);
        }
        verdict(mStory.verdict());
        return mText.toString();
    }

    private void section(String title) {
        mText.append('\n').append(title).append('\n');
    }

    private void entry(char mark, StoryEntry entry) {
        char shown = entry.role() == StoryEntry.Role.LIBRARY ? '+' : mark;
        mText.append(
                String.format(
                        Locale.ROOT,
                        "%c %11s %-24s %s%n",
                        shown,
                        time(entry.timeMicroseconds()),
                        printable(entry.line().origin().process()),
                        printable(words(entry))));
    }

    private String time(OptionalLong microseconds) {
        if (microseconds.isEmpty()) {
            return "no time";
        }
        long time = microseconds.getAsLong();
        if (mStory.call().scale() == TimeScale.SIMULATED) {
            return String.format(Locale.ROOT, "%.4f", time / (double) MICROSECONDS_PER_SECOND);
        }
        long second = Math.floorDiv(time, MICROSECONDS_PER_SECOND);
        int nanosecond = (int) Math.floorMod(time, (long) MICROSECONDS_PER_SECOND) * 1_000;
        return WALL_TIME.format(LocalDateTime.ofEpochSecond(second, nanosecond, ZoneOffset.UTC));
    }

    private String words(StoryEntry entry) {
        if (entry.line() instanceof LogLine.Library library) {
            return library(library);
        }
        LogLine.Event line = (LogLine.Event) entry.line();
        if (entry.role() == StoryEntry.Role.ARRIVAL) {
            return "arrives" + arrival(line);
        }
        Optional<CallEvent> event =
                entry.role() == StoryEntry.Role.CALL
                        ? CallEvent.of(mStory.call().id(), line)
                        : Optional.empty();
        return event.map(StoryText::words).orElseGet(() -> raw(line, line.fields().keySet()));
    }

    private static String arrival(LogLine.Event line) {
        boolean isAdmitted = line.number("tried").orElse(0) > 0;
        return chosen(line, List.of("route", "service", "customer", "catalog"))
                + (isAdmitted ? "; was admitted, since an endpoint was tried" : "");
    }

    private static String words(CallEvent event) {
        LogLine.Event line = event.line();
        if (event instanceof CallEvent.Refused refused) {
            return "is refused on arrival as " + refused.kind() + ": " + refused.detail();
        }
        if (event instanceof CallEvent.AttemptFailed failed) {
            return "attempt at "
                    + line.text("endpoint")
                    + " ends as "
                    + failed.outcome()
                    + ": "
                    + failed.cause()
                    + " ("
                    + chosen(line, List.of("waiting", "sent", "elapsed_milliseconds")).strip()
                    + ")";
        }
        if (event instanceof CallEvent.Ended) {
            List<String> known =
                    List.of(
                            "status",
                            "endpoint",
                            "sent",
                            "tried",
                            "endpoints_age_milliseconds",
                            "first_event_milliseconds",
                            "elapsed_milliseconds");
            return "ends as " + line.text("outcome") + chosen(line, known);
        }
        return raw(line, line.fields().keySet());
    }

    private static String raw(LogLine.Event line, Iterable<String> fields) {
        return line.name() + chosen(line, fields);
    }

    private static String chosen(LogLine.Event line, Iterable<String> fields) {
        StringBuilder text = new StringBuilder();
        for (String field : fields) {
            if (line.fields().containsKey(field) && !HIDDEN.contains(field)) {
                String value = line.text(field);
                boolean isPlain = !value.isEmpty() && value.indexOf(' ') < 0;
                text.append(' ').append(field).append('=');
                text.append(isPlain ? value : '"' + value + '"');
            }
        }
        return text.toString();
    }

    private void tally(EndpointTally tally) {
        mText.append(
                String.format(
                        "  %s: %d served, %d not served; failed attempts: %s%n",
                        printable(tally.endpoint()),
                        tally.served(),
                        tally.notServed(),
                        printable(failures(tally.failedAttempts()))));
    }

    private static String failures(Map<String, Integer> failedAttempts) {
        return failedAttempts.isEmpty()
                ? "none"
                : failedAttempts.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey())
                        .collect(Collectors.joining("; "));
    }

    private void verdict(Verdict verdict) {
        section(verdict.isCauseShown() ? "decided by" : "what happened; its cause is not shown");
        mText.append("  ").append(printable(verdict.decided())).append('\n');
        verdict.inputs().forEach(input -> evidence("from", input));
        verdict.beside().forEach(beside -> evidence("beside it", beside));
        section("out of date");
        if (verdict.stale().isEmpty()) {
            mText.append("  nothing, as far as these lines show\n");
        }
        verdict.stale().forEach(this::stale);
        if (!verdict.missing().isEmpty()) {
            section("not shown");
            verdict.missing()
                    .forEach(item -> mText.append("  ").append(printable(item)).append('\n'));
        }
    }

    private void evidence(String how, Evidence evidence) {
        LogLine line = evidence.line();
        mText.append(
                String.format(
                        "  %s %s %s %s%n",
                        how,
                        time(mStory.call().timeOf(line)),
                        printable(line.origin().process()),
                        printable(line(line, evidence.fields()))));
    }

    private static String line(LogLine line, List<String> fields) {
        if (line instanceof LogLine.Event event) {
            return raw(event, fields.isEmpty() ? event.fields().keySet() : fields);
        }
        return line instanceof LogLine.Library library ? library(library) : "";
    }

    private static String library(LogLine.Library line) {
        return "library " + line.level() + ": " + line.text();
    }

    private void stale(StaleBelief stale) {
        Evidence shownBy = new Evidence(stale.shownBy().line(), List.of());
        mText.append(
                String.format(
                        "  %s believed: %s%n",
                        printable(stale.process()), printable(stale.believed())));
        evidence("shown by", shownBy);
    }

    private static String readText(List<ReadSummary> summaries) {
        StringBuilder text = new StringBuilder("\nread\n");
        for (ReadSummary read : summaries) {
            text.append(
                    String.format(
                            "  %s: %d lines, %d of libraries, %d not parsed",
                            printable(read.file()),
                            read.lines(),
                            read.libraryLines(),
                            read.unreadableLines()));
            append(text, read.droppedLines(), "dropped by the process");
            append(text, read.cutLines(), "read in part");
            append(text, read.unusedMentions(), "with the ID that were not used");
            text.append('\n');
            for (ReadSummary.Example example : read.examples()) {
                text.append(
                        String.format(
                                "    not parsed: line %d: %s%n",
                                example.lineNumber(), printable(example.beginning())));
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, long count, String what) {
        if (count > 0) {
            text.append(", ").append(count).append(' ').append(what);
        }
    }

    /** Replaces characters that would control the terminal: logs contain text of callers. */
    private static String printable(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
