package org.skylarkbend.replay.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the reader of expected outcomes. */
public class OutcomeReaderFuzzTest implements FuzzTargets {
    private static final String OUTCOMES =
            "outcomes:\n  - {measure: %s, at_least: 0.5, at_most: 9}\n"
                    .formatted(Measure.values()[0].name().toLowerCase(java.util.Locale.ROOT));

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                                "expected-outcomes",
                                List.of(OUTCOMES.getBytes(StandardCharsets.UTF_8)),
                                OutcomeReaderFuzzTest::reads)
                        .withFiles());
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static boolean reads(byte[] input) throws IOException {
        Path file = Files.createTempFile("outcomes", ".yaml");
        try {
            Files.write(file, input);
            return OutcomeReader.readFile(file).isSuccess();
        } finally {
            Files.delete(file);
        }
    }
}
