package org.skylarkbend.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;

/** Reads lines of any length with bounded memory. */
final class LogReader {
    /** Twice a line that lists all calls of a busy endpoint, the longest that is of use. */
    static final int MAX_LINE_CHARACTERS = 16 * 1024;

    private static final int BUFFER_CHARACTERS = 64 * 1024;

    private LogReader() {}

    /** Receives lines. */
    @FunctionalInterface
    interface Sink {
        /**
         * Accepts a line.
         *
         * @param number number of the line, from 1
         * @param line the line without its end
         * @param isCut true if the rest of a long line was skipped
         */
        void accept(long number, String line, boolean isCut);
    }

    /** Reads all lines. Bytes that are no UTF-8 are replaced. */
    static void read(InputStream input, Sink sink) throws IOException {
        Reader reader = new InputStreamReader(input, StandardCharsets.UTF_8);
        char[] buffer = new char[BUFFER_CHARACTERS];
        StringBuilder line = new StringBuilder();
        long number = 1;
        boolean isCut = false;
        boolean hasText = false;
        for (int count = reader.read(buffer); count >= 0; count = reader.read(buffer)) {
            int start = 0;
            for (int at = 0; at < count; at++) {
                if (buffer[at] == '\n') {
                    isCut |= append(line, buffer, start, at);
                    sink.accept(number++, withoutReturn(line), isCut);
                    line.setLength(0);
                    isCut = false;
                    start = at + 1;
                }
            }
            isCut |= append(line, buffer, start, count);
            hasText = start < count || hasText && start == 0;
        }
        if (hasText) {
            sink.accept(number, withoutReturn(line), isCut);
        }
    }

    /** Appends what fits, and returns whether something did not. */
    private static boolean append(StringBuilder line, char[] buffer, int start, int end) {
        int fitting = Math.min(end - start, MAX_LINE_CHARACTERS - line.length());
        line.append(buffer, start, fitting);
        return fitting < end - start;
    }

    private static String withoutReturn(StringBuilder line) {
        int length = line.length();
        boolean hasReturn = length > 0 && line.charAt(length - 1) == '\r';
        return line.substring(0, hasReturn ? length - 1 : length);
    }
}
