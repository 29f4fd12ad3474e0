package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Reads lines without files. */
public class LogReaderTest {
    private record Line(long number, String text, boolean isCut) {}

    /** A stream of one line without end. */
    private static final class EndlessLine extends InputStream {
        private long mLeftBytes;

        EndlessLine(long bytes) {
            mLeftBytes = bytes;
        }

        @Override
        public int read() {
            return mLeftBytes-- > 0 ? 'x' : -1;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) {
            int count = (int) Math.min(length, mLeftBytes);
            Arrays.fill(buffer, offset, offset + count, (byte) 'x');
            mLeftBytes -= count;
            return count == 0 ? -1 : count;
        }
    }

    @Test
    public void linesAreNumberedAndLoseTheirEnds() throws IOException {
        assertThat(lines("a\r\n\nb"))
                .containsExactly(
                        new Line(1, "a", false), new Line(2, "", false), new Line(3, "b", false));
        assertThat(lines("a\n")).containsExactly(new Line(1, "a", false));
        assertThat(lines("")).isEmpty();
    }

    @Test
    public void aLongLineIsCutAndTheNextOneIsWhole() throws IOException {
        String longest = "y".repeat(LogReader.MAX_LINE_CHARACTERS);
        assertThat(lines(longest + "\n" + longest + "z\nnext\n"))
                .containsExactly(
                        new Line(1, longest, false),
                        new Line(2, longest, true),
                        new Line(3, "next", false));
    }

    @Test
    public void linesThatCrossTheBufferAreWhole() throws IOException {
        String line = "0123456789".repeat(1_000);
        assertThat(lines((line + "\n").repeat(100)))
                .hasSize(100)
                .allMatch(read -> read.text().equals(line) && !read.isCut());
    }

    @Test
    public void aLineOfHalfAGigabyteTakesNoMoreMemoryThanTheLongestLine() throws IOException {
        List<Line> read = new ArrayList<>();
        LogReader.read(
                new EndlessLine(512L << 20),
                (number, text, isCut) -> read.add(new Line(number, text, isCut)));
        assertThat(read).hasSize(1);
        assertThat(read.get(0).isCut()).isTrue();
        assertThat(read.get(0).text()).hasSize(LogReader.MAX_LINE_CHARACTERS);
    }

    private static List<Line> lines(String text) throws IOException {
        List<Line> lines = new ArrayList<>();
        LogReader.read(
                new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)),
                (number, line, isCut) -> lines.add(new Line(number, line, isCut)));
        return lines;
    }
}
