package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.skylarkbend.wire.RequestDecoder.Limits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of frames and of the heads of requests. */
public class WireFuzzTest implements FuzzTargets {
    private static final int MAX_PAYLOAD_BYTES = 1_000;

    /** The times of the decoder are real; what it decodes must not depend on them. */
    private static final long NEVER_MILLISECONDS = 86_400_000;

    /** As the settings of a site bound them, but shorter. */
    private static final HttpServerOptions OPTIONS =
            new HttpServerOptions().setMaxInitialLineLength(512).setMaxHeaderSize(512);

    private static final List<String> REQUESTS =
            List.of(
                    "GET /l/a?b=%20 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n",
                    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
                            + "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                    "POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "5;a=b\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
                    "GET /f HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\t\r\n d\r\n\r\n",
                    "GET / HTTP/1.0\r\nHost: h\r\nExpect: 100-continue\r\n\r\n");

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget("frames", frames(), WireFuzzTest::acceptsFrames),
                new FuzzTarget("request-heads", bytes(REQUESTS), WireFuzzTest::acceptsRequests));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<byte[]> frames() {
        byte[] two =
                ByteBuffer.allocate(14)
                        .put(FrameAssembler.frameOf(new byte[] {1, 2, 3}))
                        .put(FrameAssembler.frameOf(new byte[] {4, 5, 6}))
                        .array();
        return List.of(two, FrameAssembler.frameOf(new byte[0]));
    }

    private static List<byte[]> bytes(List<String> texts) {
        return texts.stream().map(text -> text.getBytes(StandardCharsets.ISO_8859_1)).toList();
    }

    /** The payloads must not depend on how the bytes are cut into chunks. */
    private static boolean acceptsFrames(byte[] input) {
        FrameAssembler whole = new FrameAssembler(MAX_PAYLOAD_BYTES);
        Result<List<byte[]>> atOnce = whole.feed(input);
        FrameAssembler parts = new FrameAssembler(MAX_PAYLOAD_BYTES);
        List<byte[]> payloads = new ArrayList<>();
        boolean isSound = true;
        for (int i = 0; i < input.length && isSound; i++) {
            Result<List<byte[]>> fed = parts.feed(Arrays.copyOfRange(input, i, i + 1));
            isSound = fed.isSuccess();
            fed.match(payloads::addAll, error -> {});
        }
        assertThat(isSound).isEqualTo(atOnce.isSuccess());
        atOnce.match(expected -> assertThat(payloads).hasSameSizeAs(expected), error -> {});
        atOnce.match(
                expected ->
                        assertThat(payloads.toArray(byte[][]::new))
                                .isDeepEqualTo(expected.toArray(byte[][]::new)),
                error -> {});
        return isSound;
    }

    /** The requests must not depend on how the bytes are cut, and their lengths must be clear. */
    private static boolean acceptsRequests(byte[] input) throws ReflectiveOperationException {
        RequestLog atOnce = new RequestLog();
        atOnce.receive(input, Math.max(1, input.length));
        RequestLog inParts = new RequestLog();
        inParts.receive(input, 1);
        assertThat(inParts.mLog.toString()).isEqualTo(atOnce.mLog.toString());
        return !atOnce.mIsInvalid;
    }

    /** What a decoder makes of a connection, up to the first invalid request. */
    private static final class RequestLog {
        private final StringBuilder mLog = new StringBuilder();
        private boolean mIsInvalid;

        void receive(byte[] input, int chunkBytes) throws ReflectiveOperationException {
            EmbeddedChannel channel = new EmbeddedChannel(decoder());
            for (int start = 0; start < input.length; start += chunkBytes) {
                int end = Math.min(input.length, start + chunkBytes);
                channel.writeInbound(Unpooled.copiedBuffer(input, start, end - start));
                readAll(channel);
            }
            channel.finishAndReleaseAll();
        }

        private void readAll(EmbeddedChannel channel) {
            for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
                if (!mIsInvalid) {
                    read((HttpObject) part);
                }
                ReferenceCountUtil.release(part);
            }
        }

        private void read(HttpObject part) {
            mIsInvalid = part.decoderResult().isFailure();
            if (mIsInvalid) {
                mLog.append("invalid");
            } else if (part instanceof HttpRequest request) {
                requireClearLength(request);
                mLog.append(request.method()).append(' ').append(request.uri());
                mLog.append(request.headers().entries());
            } else if (part instanceof HttpContent content) {
                mLog.append(content.content().toString(StandardCharsets.ISO_8859_1));
                mLog.append(part instanceof LastHttpContent ? "end" : "");
            }
        }

        private static void requireClearLength(HttpRequest request) {
            List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
            List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            assertThat(lengths.size() + codings.size()).as("%s", request).isLessThan(2);
            assertThat(lengths).as("%s", request).allMatch(length -> length.matches("[0-9]+"));
            assertThat(codings).as("%s", request).allMatch("chunked"::equalsIgnoreCase);
        }
    }

    private static ChannelHandler decoder() {
        return new RequestDecoder(OPTIONS, Limits.ofIdleMilliseconds(NEVER_MILLISECONDS));
    }
}
