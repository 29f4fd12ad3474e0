package org.skylarkbend.base;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Strict decoder of UTF-8 (RFC 3629). Bytes that are no UTF-8 are refused and never replaced, so a
 * decoded text always encodes to the bytes from which it was decoded.
 */
public final class Utf8 {
    private Utf8() {}

    /**
     * Returns the text that the bytes encode.
     *
     * @param bytes the bytes of the whole text
     * @param kind kind of the error if they are no UTF-8; its detail names the offset of the first
     *     byte that belongs to no character, counted from 0
     */
    public static Result<String> decode(byte[] bytes, ErrorKind kind) {
        CharsetDecoder decoder =
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        // UTF-8 has at least as many bytes as its text has UTF-16 code units.
        CharBuffer out = CharBuffer.allocate(bytes.length);
        if (decoder.decode(in, out, true).isError()) {
            int offset = in.position();
            return Result.failure(
                    kind,
                    String.format(
                            "not UTF-8: invalid byte 0x%02x at offset %d", bytes[offset], offset));
        }
        return Result.success(out.flip().toString());
    }

    /**
     * Returns whether a text can be encoded without a replacement, which is not the case for one
     * with half of a surrogate pair.
     */
    public static boolean isEncodable(CharSequence text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }
}
