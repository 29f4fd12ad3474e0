package org.skylarkbend.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Builds stories from lines. */
final class Stories {
    static final long AROUND_MICROSECONDS = 5_000_000;

    private Stories() {}

    /** Returns lines of three gateways of rmtc-thies on a day of late second answers, seed 301. */
    static List<String> lateSecondAnswers() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                Stories.class.getResourceAsStream("late-second-answers.txt"),
                                StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static CallStory of(String id, String... lines) {
        return of(id, Arrays.asList(lines));
    }

    static CallStory of(String id, List<String> lines) {
        return find(id, lines).orElseThrow();
    }

    static Optional<CallStory> find(String id, List<String> lines) {
        List<LogLine> parsed = new ArrayList<>();
        for (String line : lines) {
            parsed.add(LogLineParser.parse("day", parsed.size() + 1, line));
        }
        List<CallEvent> events =
                parsed.stream()
                        .filter(LogLine.Event.class::isInstance)
                        .flatMap(line -> CallEvent.of(id, (LogLine.Event) line).stream())
                        .toList();
        return CallTrace.of(id, events)
                .map(
                        call -> {
                            SurroundingsCollector collector =
                                    new SurroundingsCollector(call, AROUND_MICROSECONDS);
                            parsed.forEach(collector::accept);
                            return CallStory.of(call, collector.collected());
                        });
    }
}
