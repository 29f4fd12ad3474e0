package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.Test;

/** Tests a long event that arrives byte by byte. */
public class DrippedEventTest {
    private static final int EVENT_BYTES = 32 * 1024;

    /** Guards against a copy of all that has arrived of an event for each further byte. */
    @Test
    public void eachByteOfALongEventIsHandledOnce() {
        byte[] event =
                ("data: " + "x".repeat(EVENT_BYTES) + "\n\n").getBytes(StandardCharsets.UTF_8);
        SeededFuzzing.run(
                new FuzzTarget("dripped", List.of(event), DrippedEventTest::isPassedOn, 1));
    }

    private static boolean isPassedOn(byte[] input) {
        EventSplitter splitter = new EventSplitter();
        int passedOnBytes = 0;
        for (byte next : input) {
            passedOnBytes += splitter.feed(Buffer.buffer(new byte[] {next})).length();
        }
        assertThat(passedOnBytes).isLessThanOrEqualTo(input.length);
        return passedOnBytes == input.length;
    }
}
