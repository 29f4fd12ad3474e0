package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.Test;

/** How a stream is cut at the ends of its events. */
public class EventRelayTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    @Test
    public void onlyWholeEventsArePassedOnWhereverTheBytesAreCut() {
        for (int cut = 0; cut <= TWO_EVENTS.length(); cut++) {
            EventRelay relay = new EventRelay();
            String first = relay.feed(Buffer.buffer(TWO_EVENTS.substring(0, cut))).toString();
            assertThat(first.isEmpty() || first.endsWith("\n\n")).isTrue();
            String second = relay.feed(Buffer.buffer(TWO_EVENTS.substring(cut))).toString();
            assertThat(first + second).isEqualTo(TWO_EVENTS);
            assertThat(relay.hasPartial()).isFalse();
            assertThat(relay.lastEvent()).contains("2");
        }
    }

    @Test
    public void anUnfinishedEventCountsNotAsTheLast() {
        EventRelay relay = new EventRelay();
        relay.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda"));
        assertThat(relay.hasPartial()).isTrue();
        assertThat(relay.lastEvent()).contains("1");
        relay.dropPartial();
        assertThat(relay.hasPartial()).isFalse();
        assertThat(relay.feed(Buffer.buffer("id: 2\ndata: b\n\n")).toString())
                .isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    public void linesThatEndWithCarriageReturnsAreRead() {
        EventRelay relay = new EventRelay();
        assertThat(relay.feed(Buffer.buffer("id: 7\r\ndata: a\r\n\r\n")).length()).isEqualTo(18);
        assertThat(relay.lastEvent()).contains("7");
    }
}
