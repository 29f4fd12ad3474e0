package org.skylarkbend.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.Test;

/** Parses recorded lines and damaged ones. */
public class LogLineParserTest {
    private static final String WALL = "2026-04-20T10:10:21.541 level=INFO ";
    private static final String EVENT =
            "event=attempt.failed source=GatewayCall id=42e614e2513f9044 outcome=BROKEN"
                    + " cause=\"the response has another request ID or no seal\" sent=1";
    private static final long WALL_MICROSECONDS = 1_776_679_821_541_000L;

    @Test
    public void aLineOfAProcessHasItsFieldsItsTimeAndTheNameOfItsFile() {
        LogLine.Event line = event("front-1", WALL + EVENT);
        assertThat(line.origin().process()).isEqualTo("front-1");
        assertThat(line.origin().time().wallMicroseconds())
                .isEqualTo(OptionalLong.of(WALL_MICROSECONDS));
        assertThat(line.origin().time().simulatedMicroseconds()).isEmpty();
        assertThat(line.level()).isEqualTo("INFO");
        assertThat(line.name()).isEqualTo("attempt.failed");
        assertThat(line.text("cause")).isEqualTo("the response has another request ID or no seal");
        assertThat(line.number("sent")).isEqualTo(OptionalLong.of(1));
        assertThat(line.number("outcome")).isEmpty();
        assertThat(line.text("absent")).isEqualTo("-");
    }

    @Test
    public void theBenchPutsTheSimulatedTimeAndTheMachineInFront() {
        LogLine.Event line = event("day", "  10.5433 front-thies-sud-2 " + WALL + EVENT);
        assertThat(line.origin().process()).isEqualTo("front-thies-sud-2");
        assertThat(line.origin().file()).isEqualTo("day");
        assertThat(line.origin().time().simulatedMicroseconds())
                .isEqualTo(OptionalLong.of(10_543_300));
        assertThat(line.origin().time().wallMicroseconds())
                .isEqualTo(OptionalLong.of(WALL_MICROSECONDS));
    }

    @Test
    public void timesBeforeTheStartOfTheDayAreNegative() {
        LogLine.Event line = event("day", " -14.1257 front-1 " + WALL + EVENT);
        assertThat(line.origin().time().simulatedMicroseconds())
                .isEqualTo(OptionalLong.of(-14_125_700));
    }

    @Test
    public void eitherOfTheMachineAndTheTimeMayBeInFrontAlone() {
        assertThat(event("day", "front-1 " + WALL + EVENT).origin().process()).isEqualTo("front-1");
        assertThat(event("day", "front-1: " + WALL + EVENT).origin().process())
                .isEqualTo("front-1");
        assertThat(event("day", "3.00 core-1 event=control.limits.owner term=3").text("term"))
                .isEqualTo("3");
        assertThat(event("day", "3.00 " + EVENT).origin().process()).isEqualTo("day");
    }

    @Test
    public void quotedValuesAreReadAsTheyWereBeforeQuoting() {
        LogLine.Event line =
                event("f", "event=x detail=\"a \\\"b\\\" c\\\\d\\ne\\rf\" next=\"\" last=1");
        assertThat(line.text("detail")).isEqualTo("a \"b\" c\\d\ne\rf");
        assertThat(line.text("next")).isEmpty();
        assertThat(line.text("last")).isEqualTo("1");
    }

    @Test
    public void aLineOfALibraryHasNoEvent() {
        String text = "Received an HTTP message with no request in progress";
        assertThat(parse("3.1764 front-1 2026-04-20T10:10:14.176 level=ERROR " + text))
                .isInstanceOfSatisfying(
                        LogLine.Library.class,
                        line -> {
                            assertThat(line.level()).isEqualTo("ERROR");
                            assertThat(line.text()).isEqualTo(text);
                            assertThat(line.origin().process()).isEqualTo("front-1");
                        });
    }

    @Test
    public void linesOfAStackTraceContinueTheLineBefore() {
        assertThat(
                        List.of(
                                "",
                                "\tat org.skylarkbend.ctl.CtlMain.main(CtlMain.java:1)",
                                "\t... 12 more",
                                "Caused by: java.io.IOException: closed",
                                "java.lang.OutOfMemoryError: Java heap space"))
                .allSatisfy(
                        text -> assertThat(parse(text)).isInstanceOf(LogLine.Continuation.class));
    }

    @Test
    public void otherTextCannotBeParsedAndIsKept() {
        String text = "built in 0.0 s; 42201 lines in 648 files";
        assertThat(parse(text))
                .isInstanceOfSatisfying(
                        LogLine.Unreadable.class, line -> assertThat(line.text()).isEqualTo(text));
    }

    @Test
    public void anImpossibleDateIsNoTime() {
        LogLine.Event line = event("f", "2026-02-31T10:10:14.176 level=INFO " + EVENT);
        assertThat(line.origin().time().wallMicroseconds()).isEmpty();
    }

    @Test
    public void damagedLinesAreParsedInPartOrNotAtAllButNeverThrow() {
        String whole = "  10.5433 front-thies-sud-2 " + WALL + EVENT;
        for (int length = 0; length <= whole.length(); length++) {
            assertThat(parse(whole.substring(0, length))).isNotNull();
        }
        Random random = new Random(301);
        String alphabet = "ab1 =\"\\-.:T{}\t\u0000\uffff";
        for (int run = 0; run < 20_000; run++) {
            StringBuilder damaged = new StringBuilder(whole);
            for (int change = random.nextInt(6); change >= 0; change--) {
                int at = random.nextInt(damaged.length());
                damaged.setCharAt(at, alphabet.charAt(random.nextInt(alphabet.length())));
            }
            assertThat(parse(damaged.toString())).isNotNull();
        }
    }

    private static LogLine parse(String text) {
        return LogLineParser.parse("f", 1, text);
    }

    private static LogLine.Event event(String file, String text) {
        return (LogLine.Event) LogLineParser.parse(file, 1, text);
    }
}
