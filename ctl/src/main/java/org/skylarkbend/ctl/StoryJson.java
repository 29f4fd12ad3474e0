package org.skylarkbend.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import org.skylarkbend.explain.CallStory;
import org.skylarkbend.explain.EndpointTally;
import org.skylarkbend.explain.Evidence;
import org.skylarkbend.explain.LogLine;
import org.skylarkbend.explain.ReadSummary;
import org.skylarkbend.explain.StoryEntry;

/** Formats the story of a call as JSON. */
final class StoryJson {
    private StoryJson() {}

    static String of(String id, LogFiles.Reading reading) {
        ObjectNode json = CtlJson.object().put("id", id).put("found", reading.story().isPresent());
        reading.story().ifPresent(story -> putStory(json, story));
        ArrayNode read = json.putArray("read");
        reading.summaries().forEach(summary -> read.add(summary(summary)));
        return json + "\n";
    }

    private static void putStory(ObjectNode json, CallStory story) {
        json.put("clock", lowerCase(story.call().scale()));
        ArrayNode before = json.putArray("before");
        story.entriesBefore().forEach(entry -> before.add(entry(entry)));
        ArrayNode entries = json.putArray("entries");
        story.entries().forEach(entry -> entries.add(entry(entry)));
        ArrayNode endpoints = json.putArray("endpoints");
        story.surroundings().tallies().forEach(tally -> endpoints.add(tally(tally)));
        ObjectNode verdict = json.putObject("verdict");
        verdict.put("decided", story.verdict().decided());
        verdict.put("cause_shown", story.verdict().isCauseShown());
        ArrayNode inputs = verdict.putArray("inputs");
        story.verdict().inputs().forEach(input -> inputs.add(evidence(story, input)));
        ArrayNode beside = verdict.putArray("beside");
        story.verdict().beside().forEach(line -> beside.add(evidence(story, line)));
        ArrayNode stale = verdict.putArray("out_of_date");
        story.verdict()
                .stale()
                .forEach(
                        belief ->
                                stale.addObject()
                                        .put("process", belief.process())
                                        .put("believed", belief.believed())
                                        .set(
                                                "shown_by",
                                                line(
                                                        belief.shownBy().line(),
                                                        OptionalLong.of(
                                                                belief.shownBy()
                                                                        .timeMicroseconds()),
                                                        List.of())));
        ArrayNode missing = verdict.putArray("not_shown");
        story.verdict().missing().forEach(missing::add);
    }

    private static ObjectNode entry(StoryEntry entry) {
        return line(entry.line(), entry.timeMicroseconds(), List.of())
                .put("role", lowerCase(entry.role()));
    }

    private static ObjectNode evidence(CallStory story, Evidence evidence) {
        return line(evidence.line(), story.call().timeOf(evidence.line()), evidence.fields());
    }

    /** Writes the named fields of a line, or all of them if none is named. */
    private static ObjectNode line(LogLine line, OptionalLong time, List<String> fields) {
        ObjectNode json = CtlJson.object();
        time.ifPresent(microseconds -> json.put("time_microseconds", microseconds));
        json.put("process", line.origin().process());
        json.put("file", line.origin().file()).put("line", line.origin().lineNumber());
        if (line instanceof LogLine.Event event) {
            json.put("event", event.name());
            ObjectNode values = json.putObject("fields");
            event.fields().entrySet().stream()
                    .filter(field -> fields.isEmpty() || fields.contains(field.getKey()))
                    .forEach(field -> values.put(field.getKey(), field.getValue()));
        } else if (line instanceof LogLine.Library library) {
            json.put("level", library.level()).put("text", library.text());
        }
        return json;
    }

    private static ObjectNode tally(EndpointTally tally) {
        ObjectNode json =
                CtlJson.object()
                        .put("endpoint", tally.endpoint())
                        .put("served", tally.served())
                        .put("not_served", tally.notServed());
        ObjectNode failed = json.putObject("failed_attempts");
        tally.failedAttempts().forEach(failed::put);
        return json;
    }

    private static ObjectNode summary(ReadSummary read) {
        ObjectNode json =
                CtlJson.object()
                        .put("file", read.file())
                        .put("lines", read.lines())
                        .put("library_lines", read.libraryLines())
                        .put("cut_lines", read.cutLines())
                        .put("dropped_lines", read.droppedLines())
                        .put("unused_mentions", read.unusedMentions())
                        .put("not_parsed", read.unreadableLines());
        ArrayNode examples = json.putArray("not_parsed_examples");
        read.examples()
                .forEach(
                        example ->
                                examples.addObject()
                                        .put("line", example.lineNumber())
                                        .put("beginning", example.beginning()));
        return json;
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
