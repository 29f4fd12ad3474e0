package org.skylarkbend.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed events of engines to their decoder and to the joining of accepted ones. */
public class EngineEventCodecFuzzTest implements FuzzTargets {
    private static final String EVENT =
            """
            {"id":"c","model":"m",
             "choices":[{"delta":{"content":"h\\u00e9"},"finish_reason":"stop"}],
             "usage":{"prompt_tokens":9,"completion_tokens":3,
                      "prompt_tokens_details":{"cached_tokens":5}}}
            """;

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "engine-events", bytes(EVENT), EngineEventCodecFuzzTest::canBeJoined),
                new FuzzTarget(
                        "engine-responses",
                        bytes(EVENT),
                        input -> EngineEventCodec.usageIn(input).isPresent()));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static boolean canBeJoined(byte[] input) {
        SseEvent event = new SseEvent("1", new String(input, StandardCharsets.UTF_8));
        boolean isSound = EngineEventCodec.decode(event).isSuccess();
        if (isSound) {
            assertThat(EngineEventCodec.join(List.of(event, event))).isNotEmpty();
        }
        return isSound;
    }

    private static List<byte[]> bytes(String text) {
        return List.of(text.getBytes(StandardCharsets.UTF_8));
    }
}
