package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.gateway.endpoints.ReportedLoad;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of the responses of endpoints. */
public class GatewayCallFuzzTest implements FuzzTargets {
    private static final String EVENTS =
            "id: 1\ndata: {\"a\":1}\n\n: comment\n\nid:2\r\ndata: x\r\n\r\ndata: part";

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget("event-stream", texts(EVENTS), GatewayCallFuzzTest::splitsEvents),
                new FuzzTarget(
                        "load-header",
                        texts("1,2,3"),
                        input -> ReportedLoad.parse(text(input)).isPresent()),
                new FuzzTarget(
                        "retry-after-header",
                        texts("1.5", "120"),
                        input -> RetryAfterHeader.parseMilliseconds(text(input)).isPresent()));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<byte[]> texts(String... texts) {
        return List.of(texts).stream()
                .map(text -> text.getBytes(StandardCharsets.ISO_8859_1))
                .toList();
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.ISO_8859_1);
    }

    /** Events must not depend on how the bytes are cut, and no byte may be lost or added. */
    private static boolean splitsEvents(byte[] input) {
        EventSplitter whole = new EventSplitter();
        Buffer atOnce = whole.feed(Buffer.buffer(input));
        EventSplitter parts = new EventSplitter();
        Buffer inParts = Buffer.buffer();
        for (byte next : input) {
            inParts.appendBuffer(parts.feed(Buffer.buffer(new byte[] {next})));
        }
        assertThat(inParts).isEqualTo(atOnce);
        assertThat(parts.lastEventId()).isEqualTo(whole.lastEventId());
        assertThat(parts.pendingBytes()).isEqualTo(input.length - atOnce.length());
        assertThat(whole.pendingBytes()).isEqualTo(input.length - atOnce.length());
        assertThat(atOnce.getBytes()).isEqualTo(java.util.Arrays.copyOf(input, atOnce.length()));
        return whole.lastEventId().isPresent();
    }
}
