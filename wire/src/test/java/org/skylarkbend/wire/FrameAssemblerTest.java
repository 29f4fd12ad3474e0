package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks the splitting of a byte stream into frames. */
public class FrameAssemblerTest {
    private static final int MAX_PAYLOAD_BYTES = 100;

    @Test
    public void framesReceivedByteByByteAreReassembled() {
        FrameAssembler assembler = new FrameAssembler(MAX_PAYLOAD_BYTES);
        List<byte[]> received = new ArrayList<>();
        for (byte b : FrameAssembler.frameOf(new byte[] {1, 2, 3})) {
            assembler
                    .feed(new byte[] {b})
                    .match(received::addAll, error -> assertThat(error).isNull());
        }
        assertThat(received).containsExactly(new byte[] {1, 2, 3});
    }

    @Test
    public void aFrameOverTheLimitIsRefused() {
        FrameAssembler assembler = new FrameAssembler(MAX_PAYLOAD_BYTES);
        byte[] frame = FrameAssembler.frameOf(new byte[MAX_PAYLOAD_BYTES + 1]);
        assertThat(assembler.feed(frame).isSuccess()).isFalse();
    }

    @Test
    public void aNegativeLengthIsRefused() {
        FrameAssembler assembler = new FrameAssembler(MAX_PAYLOAD_BYTES);
        assertThat(assembler.feed(new byte[] {-1, 0, 0, 0}).isSuccess()).isFalse();
    }

    @Test
    public void aMalformedMessageIsAFailureAndNoException() {
        byte[] arrayWithoutItsItems = {(byte) 0xdd, 0x7f, 0x7f, 0x7f, 0x7f};
        assertThat(
                        MessageReader.decode(
                                        arrayWithoutItsItems, reader -> reader.list(r -> r.text()))
                                .isSuccess())
                .isFalse();
    }
}
