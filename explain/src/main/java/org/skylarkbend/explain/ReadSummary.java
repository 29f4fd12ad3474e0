package org.skylarkbend.explain;

import java.util.ArrayList;
import java.util.List;

/**
 * What was read of a file.
 *
 * @param file name of the file
 * @param lines number of lines
 * @param libraryLines lines of libraries
 * @param cutLines lines that were too long and were read in part
 * @param droppedLines lines that the process did not write, as {@code log.dropped} says
 * @param unreadableLines lines that cannot be parsed
 * @param examples the first of those
 * @param unusedMentions lines that contain the ID and are not part of the story
 */
public record ReadSummary(
        String file,
        long lines,
        long libraryLines,
        long cutLines,
        long droppedLines,
        long unreadableLines,
        List<Example> examples,
        long unusedMentions) {
    /**
     * A line that cannot be parsed.
     *
     * @param lineNumber its number
     * @param beginning its beginning
     */
    public record Example(long lineNumber, String beginning) {}

    /** Counts the lines of a file. To be confined to one thread. */
    public static final class Counter {
        private static final int MAX_EXAMPLES = 3;
        private static final int MAX_CHARACTERS = 60;

        private final String mFile;
        private final List<Example> mExamples = new ArrayList<>();
        private long mLines;
        private long mLibraryLines;
        private long mCutLines;
        private long mDroppedLines;
        private long mUnreadableLines;
        private long mUnusedMentions;

        /** Creates a counter for the file. */
        public Counter(String file) {
            mFile = file;
        }

        /**
         * Counts a line.
         *
         * @param line the line
         * @param isCut true if it was read in part
         * @param isUnusedMention true if it contains the ID and is not part of the story
         */
        public void count(LogLine line, boolean isCut, boolean isUnusedMention) {
            mLines++;
            mCutLines += isCut ? 1 : 0;
            mUnusedMentions += isUnusedMention ? 1 : 0;
            mLibraryLines += line instanceof LogLine.Library ? 1 : 0;
            if (line instanceof LogLine.Event event && event.name().equals("log.dropped")) {
                mDroppedLines += event.number("lines").orElse(0);
            }
            if (line instanceof LogLine.Unreadable unreadable) {
                mUnreadableLines++;
                if (mExamples.size() < MAX_EXAMPLES) {
                    mExamples.add(example(unreadable));
                }
            }
        }

        private static Example example(LogLine.Unreadable line) {
            String text = line.text().strip();
            return new Example(
                    line.origin().lineNumber(),
                    text.substring(0, Math.min(MAX_CHARACTERS, text.length())));
        }

        /** Returns the counts so far. */
        public ReadSummary summary() {
            return new ReadSummary(
                    mFile,
                    mLines,
                    mLibraryLines,
                    mCutLines,
                    mDroppedLines,
                    mUnreadableLines,
                    List.copyOf(mExamples),
                    mUnusedMentions);
        }
    }
}
