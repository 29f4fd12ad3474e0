package org.skylarkbend.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoder of the responses of endpoints. */
public class ResponseDecoderFuzzTest implements FuzzTargets {
    private static final int MAX_HEAD_BYTES = 512;
    private static final ExchangeOptions OPTIONS =
            new ExchangeOptions(1, 1_000, 1_000, MAX_HEAD_BYTES);
    private static final ExchangeRequest REQUEST =
            new ExchangeRequest(
                    SocketAddress.inetSocketAddress(80, "127.0.0.1"),
                    HttpMethod.GET,
                    "/",
                    MultiMap.caseInsensitiveMultiMap(),
                    Buffer.buffer(),
                    start -> start.status() == 299);

    private static final List<String> RESPONSES =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\ndone",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "5;a=b\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
                    "HTTP/1.1 299 Other\r\nContent-Length: 1\r\n\r\nx"
                            + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny",
                    "HTTP/1.0 200 OK\r\n\r\nuntil the end");

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "response-heads", bytes(), ResponseDecoderFuzzTest::acceptsResponses));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<byte[]> bytes() {
        return RESPONSES.stream().map(text -> text.getBytes(StandardCharsets.ISO_8859_1)).toList();
    }

    /** The response must not depend on how the bytes are cut into chunks. */
    private static boolean acceptsResponses(byte[] input) {
        ResponseLog atOnce = new ResponseLog();
        atOnce.receive(input, Math.max(1, input.length));
        ResponseLog inParts = new ResponseLog();
        inParts.receive(input, 1);
        assertThat(inParts.mLog.toString()).isEqualTo(atOnce.mLog.toString());
        assertThat(inParts.mEnds).isLessThan(2);
        return atOnce.mEnds == 1 && !atOnce.mIsInvalid;
    }

    /** What a decoder makes of a connection, up to the first invalid part or the end. */
    private static final class ResponseLog {
        private final StringBuilder mLog = new StringBuilder();
        private int mEnds;
        private boolean mIsInvalid;

        void receive(byte[] input, int chunkBytes) {
            ResponseDecoder decoder = new ResponseDecoder(OPTIONS);
            decoder.expectResponse(REQUEST);
            EmbeddedChannel channel = new EmbeddedChannel(decoder);
            for (int start = 0; start < input.length; start += chunkBytes) {
                int end = Math.min(input.length, start + chunkBytes);
                channel.writeInbound(Unpooled.copiedBuffer(input, start, end - start));
                readAll(channel);
            }
            channel.finish();
            readAll(channel);
            channel.finishAndReleaseAll();
        }

        private void readAll(EmbeddedChannel channel) {
            for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
                if (!mIsInvalid) {
                    read(part);
                }
                ReferenceCountUtil.release(part);
            }
        }

        private void read(Object part) {
            mIsInvalid = part instanceof ResponseDecoder.Fault;
            if (mIsInvalid) {
                mLog.append("invalid");
            }
            if (part instanceof ResponseDecoder.Head head) {
                mLog.append(head.start().status()).append(head.start().headers().entries());
                assertThat(head.keepAlive().milliseconds()).isNotNegative();
            }
            if (part instanceof HttpContent content) {
                mLog.append(content.content().toString(StandardCharsets.ISO_8859_1));
                mEnds += part instanceof LastHttpContent ? 1 : 0;
            }
        }
    }
}
