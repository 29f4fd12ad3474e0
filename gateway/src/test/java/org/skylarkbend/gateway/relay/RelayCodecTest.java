package org.skylarkbend.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the encoding of what gateways send one another. */
public class RelayCodecTest implements FuzzTargets {
    private static final List<RelayMessage> MESSAGES =
            List.of(
                    new RelayMessage.Open("10.0.0.1", 8_080),
                    new RelayMessage.Opened(),
                    new RelayMessage.NotOpened(RelayMessage.Reason.ENDPOINT_UNREACHABLE),
                    new RelayMessage.NotOpened(RelayMessage.Reason.RELAY_UNSUITABLE));

    private final RelayCodec mCodec = new RelayCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("relay-messages", MESSAGES, mCodec::encode, mCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    @Test
    public void aMessageIsReadAsItWasWritten() {
        for (RelayMessage message : MESSAGES) {
            assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(Result.success(message));
        }
    }

    /** Guards against blocks that are joined or lost where they are cut into packets. */
    @Test
    public void blocksAreDecodedHoweverTheyAreCut() {
        Buffer blocks =
                Buffer.buffer()
                        .appendBuffer(TunnelDecoder.block(Buffer.buffer("first ")))
                        .appendBuffer(TunnelDecoder.block(Buffer.buffer("second")))
                        .appendBuffer(TunnelDecoder.end());
        for (int packetBytes = 1; packetBytes <= blocks.length(); packetBytes++) {
            EmbeddedChannel channel = new EmbeddedChannel(new TunnelDecoder());
            for (int at = 0; at < blocks.length(); at += packetBytes) {
                int end = Math.min(at + packetBytes, blocks.length());
                channel.writeInbound(Unpooled.wrappedBuffer(blocks.getBytes(at, end)));
            }
            assertThat(channel.isOpen()).as("open behind the end").isFalse();
            assertThat(received(channel)).isEqualTo("first second");
            channel.checkException();
        }
    }

    /** Guards against a relay whose end looks like that of the endpoint. */
    @Test
    public void aConnectionThatEndsWithoutItsLastBlockHasFailed() {
        EmbeddedChannel channel = new EmbeddedChannel(new TunnelDecoder());
        channel.writeInbound(
                Unpooled.wrappedBuffer(TunnelDecoder.block(Buffer.buffer("half")).getBytes()));
        channel.close();
        assertThat(received(channel)).isEqualTo("half");
        org.assertj.core.api.Assertions.assertThatThrownBy(channel::checkException)
                .isInstanceOf(IOException.class);
    }

    private static String received(EmbeddedChannel channel) {
        StringBuilder received = new StringBuilder();
        for (ByteBuf part = channel.readInbound(); part != null; part = channel.readInbound()) {
            received.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return received.toString();
    }
}
