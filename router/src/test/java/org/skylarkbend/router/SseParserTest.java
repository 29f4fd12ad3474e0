package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.Test;

/** Tests the text of server-sent events. */
public class SseParserTest {
    private static final int MAX_EVENT_BYTES = 100;

    @Test
    public void charactersThatAreCutBetweenChunksArriveWhole() {
        byte[] stream = "id: 1\ndata: é客😀\n\n".getBytes(StandardCharsets.UTF_8);
        SseParser parser = new SseParser(MAX_EVENT_BYTES);
        List<SseEvent> events = new ArrayList<>();
        for (byte next : stream) {
            parser.feed(new byte[] {next}).match(events::addAll, error -> {});
        }
        assertThat(events).containsExactly(new SseEvent("1", "é客😀"));
    }

    /** Guards against an event that reaches a caller with replaced bytes. */
    @Test
    public void anEventThatIsNoTextIsAFailure() {
        byte[] stream = "data: ab\n\n".getBytes(StandardCharsets.UTF_8);
        stream[7] = (byte) 0xc3;
        Result<List<SseEvent>> result = new SseParser(MAX_EVENT_BYTES).feed(stream);
        SkylarkError error = result.fold(events -> null, e -> e);
        assertThat(error.kind()).isEqualTo(ErrorKind.ENDPOINT_FAILED);
        assertThat(error.detail()).contains("at offset 7");
    }
}
