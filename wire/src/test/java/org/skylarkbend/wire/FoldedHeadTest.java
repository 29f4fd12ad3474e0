package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.skylarkbend.wire.RequestDecoder.Limits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a decoder makes of heads whose lines continue on other lines. */
public class FoldedHeadTest {
    private static final int MAX_HEADER_BYTES = 512;
    private static final long NEVER_MILLISECONDS = 86_400_000;
    private static final String START = "GET / HTTP/1.1\r\nHost: h\r\na: b\r\n";

    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void connect() {
        mChannel =
                new EmbeddedChannel(
                        new RequestDecoder(
                                new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES),
                                Limits.ofIdleMilliseconds(NEVER_MILLISECONDS)));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mChannel.finishAndReleaseAll();
    }

    /** Guards against a value that depends on how the head is cut into parts. */
    @Test
    public void aValueThatArrivesByteByByteIsJoinedByOneSpace() {
        send(START);
        " \t c\r\n \r\n  d\r\n\r\n".chars().forEach(c -> send(String.valueOf((char) c)));
        assertThat(request().orElseThrow().headers().get("a")).isEqualTo("b c d");
    }

    /** Guards against a head without an end whose lines all vanish when they are joined. */
    @Test
    public void aHeadOfBlankContinuationsWithoutAnEndIsRefused() {
        send(START);
        for (int i = 0; i < MAX_HEADER_BYTES; i++) {
            send(" \r\n");
        }
        assertThat(request().orElseThrow().decoderResult().isFailure()).isTrue();
    }

    /** Guards against a line that waits without end for its continuation. */
    @Test
    public void aContinuationOfBlanksWithoutAnEndIsRefused() {
        send(START);
        for (int i = 0; i < 2 * MAX_HEADER_BYTES; i++) {
            send(" ");
        }
        assertThat(request().orElseThrow().decoderResult().isFailure()).isTrue();
    }

    /** Guards against a line break that another server on the way could understand differently. */
    @Test
    public void aLineFeedWithoutACarriageReturnIsRefused() {
        send("GET / HTTP/1.1\r\nHost: h\r\na: b\n c\r\n\r\n");
        assertThat(request().orElseThrow().decoderResult().isFailure()).isTrue();
    }

    private void send(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private Optional<HttpRequest> request() {
        return Optional.ofNullable(mChannel.readInbound());
    }
}
