package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.Test;

/** Tests the splitting of a stream at event boundaries. */
public class EventSplitterTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    @Test
    public void onlyWholeEventsArePassedOnWhereverTheBytesAreCut() {
        for (int cut = 0; cut <= TWO_EVENTS.length(); cut++) {
            EventSplitter splitter = new EventSplitter();
            String first = splitter.feed(Buffer.buffer(TWO_EVENTS.substring(0, cut))).toString();
            assertThat(first.isEmpty() || first.endsWith("\n\n")).isTrue();
            String second = splitter.feed(Buffer.buffer(TWO_EVENTS.substring(cut))).toString();
            assertThat(first + second).isEqualTo(TWO_EVENTS);
            assertThat(splitter.hasPartial()).isFalse();
            assertThat(splitter.lastEventId()).contains("2");
        }
    }

    @Test
    public void anIncompleteEventDoesNotCountAsTheLast() {
        EventSplitter splitter = new EventSplitter();
        splitter.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda"));
        assertThat(splitter.hasPartial()).isTrue();
        assertThat(splitter.lastEventId()).contains("1");
        splitter.discardPartial();
        assertThat(splitter.hasPartial()).isFalse();
        assertThat(splitter.feed(Buffer.buffer("id: 2\ndata: b\n\n")).toString())
                .isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    public void linesThatEndWithCarriageReturnsAreRead() {
        EventSplitter splitter = new EventSplitter();
        assertThat(splitter.feed(Buffer.buffer("id: 7\r\ndata: a\r\n\r\n")).length()).isEqualTo(18);
        assertThat(splitter.lastEventId()).contains("7");
    }

    /** Guards against an endpoint that keeps a stalled stream alive without any event. */
    @Test
    public void commentsAndBlankLinesArePassedOnAndAreNoEvents() {
        EventSplitter splitter = new EventSplitter();
        for (String part : new String[] {":\n\n", "\n", "\r\n", ": wait\n: more\n\n\n"}) {
            assertThat(splitter.feed(Buffer.buffer(part)).toString()).isEqualTo(part);
            assertThat(splitter.hasNewEvent()).isFalse();
        }
        splitter.feed(Buffer.buffer(": wait\nid: 1\ndata: a\n"));
        assertThat(splitter.hasNewEvent()).isFalse();
        splitter.feed(Buffer.buffer("\n"));
        assertThat(splitter.hasNewEvent()).isTrue();
        splitter.feed(Buffer.buffer(":\n\n"));
        assertThat(splitter.hasNewEvent()).isFalse();
    }
}
