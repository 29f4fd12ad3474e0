package org.skylarkbend.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.Test;

/** Tests the texts of messages between processes. */
public class MessageReaderTest {
    private static final int TYPE = 1;

    /** Guards against a message that is understood with replaced bytes. */
    @Test
    public void aMessageWithATextThatIsNoUtf8IsMalformed() {
        byte[] message = new MessageWriter(TYPE).text("name").toBytes();
        assertThat(textIn(message)).isEqualTo(Result.success("name"));
        message[message.length - 1] = (byte) 0xff;
        SkylarkError error = textIn(message).fold(text -> null, e -> e);
        assertThat(error.kind()).isEqualTo(ErrorKind.FRAME_INVALID);
        assertThat(error.detail()).contains("0xff at offset 3");
    }

    private static Result<String> textIn(byte[] message) {
        return MessageReader.decode(
                message,
                reader -> {
                    reader.type();
                    return reader.text();
                });
    }
}
