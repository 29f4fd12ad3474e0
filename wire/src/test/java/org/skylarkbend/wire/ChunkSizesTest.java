package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which size lines end a body. */
public class ChunkSizesTest {
    @DataProvider
    private Object[][] sizeLines() {
        return new Object[][] {
            {"0\r\n", true},
            {" \t000\r\n", true},
            {"0;name=value\r\n", true},
            {"0\f\f\r\n", true},
            {"\f0\u007f\r\n", true},
            {"10\r\n", false},
            {"01\r\n", false},
            {"0x\r\n", false},
            {"\r\n", false}
        };
    }

    /** Guards against trailer lines that are decoded before there is memory for them. */
    @Test(dataProvider = "sizeLines")
    public void aSizeOfZeroIsTheLastWhateverTheDecoderAcceptsAroundIt(String line, boolean isLast) {
        ByteBuf received = Unpooled.copiedBuffer(line, StandardCharsets.ISO_8859_1);
        received.skipBytes(line.length());
        assertThat(ChunkSizes.isLast(received, 0)).isEqualTo(isLast);
    }
}
