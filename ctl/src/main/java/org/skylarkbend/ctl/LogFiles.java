package org.skylarkbend.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.explain.CallEvent;
import org.skylarkbend.explain.CallStory;
import org.skylarkbend.explain.CallTrace;
import org.skylarkbend.explain.LogLine;
import org.skylarkbend.explain.LogLineParser;
import org.skylarkbend.explain.ReadSummary;
import org.skylarkbend.explain.SurroundingsCollector;

/**
 * The logs from which a call is explained. They are read twice, line by line: first for the call,
 * then for what stands beside it. Standard input and pipes are kept in temporary files for that.
 */
final class LogFiles implements AutoCloseable {
    private static final String STANDARD_INPUT = "-";
    private static final String SUFFIX = ".log";

    /** Far more lines than one call has, and few enough to keep. */
    private static final int MAX_EVENTS = 500;

    private final List<LogFile> mFiles = new ArrayList<>();
    private final List<Path> mTemporary = new ArrayList<>();

    private record LogFile(String name, Path path) {}

    /**
     * What the logs say.
     *
     * @param story the call, or empty if no line is about it
     * @param summaries what was read of each file
     */
    record Reading(Optional<CallStory> story, List<ReadSummary> summaries) {}

    private LogFiles() {}

    /** Opens the logs; {@code -} stands for the standard input. */
    static LogFiles open(List<String> names, InputStream standardInput) throws IOException {
        LogFiles opened = new LogFiles();
        try {
            Set<String> taken = new HashSet<>();
            for (String name : new LinkedHashSet<>(names)) {
                opened.add(name, taken, standardInput);
            }
            return opened;
        } catch (IOException e) {
            opened.close();
            throw e;
        }
    }

    /** A file is called by its name without folder, unless another one has the same. */
    private void add(String name, Set<String> taken, InputStream standardInput) throws IOException {
        boolean isStandardInput = name.equals(STANDARD_INPUT);
        Path path = isStandardInput ? copyOf(standardInput) : readableTwice(Path.of(name));
        String file = isStandardInput ? "stdin" : String.valueOf(Path.of(name).getFileName());
        String process =
                file.endsWith(SUFFIX) ? file.substring(0, file.length() - SUFFIX.length()) : file;
        mFiles.add(new LogFile(taken.add(process) ? process : name, path));
    }

    private Path readableTwice(Path path) throws IOException {
        if (Files.isRegularFile(path)) {
            return path;
        }
        try (InputStream pipe = Files.newInputStream(path)) {
            return copyOf(pipe);
        } catch (FileSystemException e) {
            throw e;
        } catch (IOException e) {
            throw new FileSystemException(path.toString(), null, e.getMessage());
        }
    }

    private Path copyOf(InputStream input) throws IOException {
        Path copy = Files.createTempFile("skylarkctl", SUFFIX);
        mTemporary.add(copy);
        Files.copy(input, copy, StandardCopyOption.REPLACE_EXISTING);
        return copy;
    }

    /** Reads the story of a call. */
    Reading read(String id, long aroundMicroseconds) throws IOException {
        List<CallEvent> events = new ArrayList<>();
        List<ReadSummary> summaries = new ArrayList<>();
        for (LogFile file : mFiles) {
            ReadSummary.Counter counter = new ReadSummary.Counter(file.name());
            readLines(
                    file,
                    (number, text, isCut) -> {
                        LogLine line = LogLineParser.parse(file.name(), number, text);
                        boolean isUsed =
                                line instanceof LogLine.Event event
                                        && events.size() < MAX_EVENTS
                                        && CallEvent.of(id, event).map(events::add).orElse(false);
                        boolean isUnused = !isUsed && text.contains(id);
                        counter.count(line, isCut, isUnused);
                    });
            summaries.add(counter.summary());
        }
        Optional<CallTrace> trace = CallTrace.of(id, events);
        if (trace.isEmpty()) {
            return new Reading(Optional.empty(), summaries);
        }
        SurroundingsCollector collector =
                new SurroundingsCollector(trace.get(), aroundMicroseconds);
        for (LogFile file : mFiles) {
            readParsed(file, collector::accept);
        }
        return new Reading(
                Optional.of(CallStory.of(trace.get(), collector.collected())), summaries);
    }

    private static void readParsed(LogFile file, Consumer<LogLine> sink) throws IOException {
        readLines(
                file,
                (number, text, isCut) ->
                        sink.accept(LogLineParser.parse(file.name(), number, text)));
    }

    private static void readLines(LogFile file, LogReader.Sink sink) throws IOException {
        try (InputStream input = Files.newInputStream(file.path())) {
            LogReader.read(input, sink);
        }
    }

    @Override
    public void close() throws IOException {
        for (Path copy : mTemporary) {
            Files.deleteIfExists(copy);
        }
    }
}
