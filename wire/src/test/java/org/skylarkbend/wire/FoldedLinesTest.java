package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests which line breaks of a head are replaced. */
public class FoldedLinesTest {
    private static final String REQUEST_LINE = "GET / HTTP/1.1\r\n";
    private static final int MAX_BYTES = 512;

    @Test
    public void aValueThatContinuesOnOtherLinesIsJoined() {
        assertThat(joined(REQUEST_LINE + "a: b\r\n c\r\n\td\r\ne: f\r\n\r\n"))
                .isEqualTo(REQUEST_LINE + "a: b c d\r\ne: f\r\n\r\n");
    }

    /** Guards against bytes of a body that are changed. */
    @Test
    public void bytesBehindTheHeadStayAsTheyAre() {
        String request = REQUEST_LINE + "a: b\r\n\r\nbody\r\n of\r\n lines";
        assertThat(joined(request)).isEqualTo(request);
    }

    /** Guards against empty lines in front of a request that are taken for the end of its head. */
    @Test
    public void emptyLinesInFrontOfARequestAreSkipped() {
        assertThat(joined("\r\n \r\n" + REQUEST_LINE + "a: b\r\n c\r\n\r\n"))
                .isEqualTo(REQUEST_LINE + "a: b c\r\n\r\n");
    }

    /** Guards against characters that the decoder refuses and a folded line would hide. */
    @Test
    public void aCharacterThatTheDecoderRefusesIsKept() {
        assertThat(joined("\u007f\n" + REQUEST_LINE + "a: b\r\n c\r\n\r\n"))
                .isEqualTo("\u007f\n" + REQUEST_LINE + "a: b c\r\n\r\n");
    }

    /** Guards against a value that depends on how the head is cut into parts. */
    @Test
    public void theLineFeedOfALineThatMayContinueHasToWait() {
        ByteBuf received = bytes(REQUEST_LINE + "a: b\r\n");
        assertThat(new FoldedLines(MAX_BYTES).join(received, true))
                .isEqualTo((REQUEST_LINE + "a: b\r").length());
    }

    @Test
    public void theLineFeedOfAJoinedLineThatMayContinueHasToWait() {
        ByteBuf received = bytes(REQUEST_LINE + "a: b\r\n c\r\nd: e\r\n f\r\n ");
        int decodable = new FoldedLines(MAX_BYTES).join(received, true);
        assertThat(text(received, received.readerIndex(), decodable))
                .isEqualTo(REQUEST_LINE + "a: b c\r\nd: e f\r");
        assertThat(text(received, decodable, received.writerIndex())).isEqualTo("\n ");
    }

    @Test
    public void anIncompleteLineIsLeftToTheDecoder() {
        ByteBuf received = bytes(REQUEST_LINE + "a: b");
        assertThat(new FoldedLines(MAX_BYTES).join(received, true))
                .isEqualTo(received.writerIndex());
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static String text(ByteBuf received, int from, int to) {
        return received.toString(from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static String joined(String text) {
        ByteBuf received = bytes(text);
        assertThat(new FoldedLines(MAX_BYTES).join(received, true))
                .isEqualTo(received.writerIndex());
        return received.toString(StandardCharsets.ISO_8859_1);
    }
}
