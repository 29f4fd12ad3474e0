package org.skylarkbend.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed lines to the parser of logs. */
public class LogLineParserFuzzTest implements FuzzTargets {
    private static final String EVENT =
            "  10.5433 front-1 2026-04-20T10:10:21.541 level=INFO event=attempt.failed"
                    + " id=42e614e2513f9044 cause=\"a \\\"seal\\\"\" sent=1";
    private static final String LIBRARY = "2026-04-20T10:10:21.541 level=WARN started";
    private static final String CONTINUATION = "    at a.b.C.d(C.java:5)";

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "log-lines",
                        List.of(bytes(EVENT), bytes(LIBRARY), bytes(CONTINUATION)),
                        LogLineParserFuzzTest::isReadable));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static boolean isReadable(byte[] input) {
        LogLine line = LogLineParser.parse("file", 7, new String(input, StandardCharsets.UTF_8));
        assertThat(line.origin().lineNumber()).isEqualTo(7);
        if (line instanceof LogLine.Event event) {
            assertThat(event.name()).isNotNull();
            event.fields().keySet().forEach(event::number);
        }
        return !(line instanceof LogLine.Unreadable);
    }
}
