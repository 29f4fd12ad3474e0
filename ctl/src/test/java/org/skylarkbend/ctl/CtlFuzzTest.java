package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of what control answers and of logs and settings. */
public class CtlFuzzTest implements FuzzTargets {
    private static final String ERROR =
            "{\"error\":{\"kind\":\"set_invalid\",\"detail\":\"d\",\"problems\":[\"p\"]}}";
    private static final String USAGE =
            """
            {"month":"2026-04","customers":[{"customer":"c","spend":1.5,"grant":9,"prompt_tokens":3,
              "cached_tokens":1,"answer_tokens":2,"currency":"XOF","low":1,"expected":2,"high":3}],
             "method":"m","notes":["n"]}
            """;
    private static final String SETTINGS =
            "controls: [\"127.0.0.1:7000\"]\ncredential_file: /dev/null\n";

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "control-responses", bytes(ERROR, USAGE), CtlFuzzTest::showsResponse),
                new FuzzTarget("log-files", bytes("a\r\n\nb"), CtlFuzzTest::readsLog),
                new FuzzTarget(
                        "base-revision",
                        bytes("# base_revision: 7\nrates: {}\n"),
                        input -> BaseRevision.findIn(text(input)).isPresent()),
                new FuzzTarget("operator-settings", bytes(SETTINGS), CtlFuzzTest::readsSettings)
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

    private static boolean showsResponse(byte[] input) {
        ControlResponse response = new ControlResponse(200, text(input));
        assertThat(response.error().kind()).isNotNull();
        JsonNode json = response.json();
        UsageText.statement(json);
        UsageText.forecast(json);
        UsageCsv.statement(json);
        UsageCsv.forecast(json);
        UsageHtml.statement(json);
        UsageHtml.forecast(json);
        return !json.isMissingNode();
    }

    private static boolean readsLog(byte[] input) throws IOException {
        long[] lines = new long[1];
        LogReader.read(
                new ByteArrayInputStream(input),
                (number, line, isCut) -> {
                    assertThat(number).isEqualTo(++lines[0]);
                    assertThat(line).doesNotContain("\n");
                });
        return lines[0] > 0;
    }

    private static boolean readsSettings(byte[] input) throws IOException {
        Path file = Files.createTempFile("operator", ".yaml");
        try {
            Files.write(file, input);
            return OperatorSettings.of(Optional.of(file), null, Map.of()).isSuccess();
        } finally {
            Files.delete(file);
        }
    }

    private static List<byte[]> bytes(String... texts) {
        return List.of(texts).stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toList();
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.UTF_8);
    }
}
