package org.skylarkbend.router.watch;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of what engines and the platform report. */
public class WatchFuzzTest implements FuzzTargets {
    private static final ObjectName ENDPOINT = ObjectName.of("e");
    private static final String CACHE_EVENT =
            """
            {"incarnation":7,"sequence":3,"kind":"stored","scope":"c","blocks":["00000000000000ff"]}
            """;
    private static final String LOAD =
            """
            {"incarnation":7,"running":1,"queued":2,"queued_prompt_tokens":3,"cached_blocks":4,
             "versions":["v1"],"leaving":false}
            """;
    private static final String LIST =
            """
            {"generation":7,"endpoints":[{"name":"e","state":"leaving"},{"name":"f"}]}
            """;

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "cache-events",
                        bytes(CACHE_EVENT),
                        input -> CacheEventCodec.decode(ENDPOINT, text(input)).isPresent()),
                new FuzzTarget(
                        "load-reports",
                        bytes(LOAD),
                        input -> ReportCodec.decodeLoad(input, 5).isPresent()),
                new FuzzTarget(
                        "endpoint-lists",
                        bytes(LIST),
                        input -> ReportCodec.decodeList(input).isPresent()));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<byte[]> bytes(String... texts) {
        return List.of(texts).stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toList();
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.UTF_8);
    }
}
