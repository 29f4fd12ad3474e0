package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the strict decoder of UTF-8. */
public class Utf8Test {
    @DataProvider
    private Object[][] invalid() {
        return new Object[][] {
            {"a byte of no character", new int[] {0xff}},
            {"a continuation without start", new int[] {0x80}},
            {"overlong, two bytes", new int[] {0xc0, 0x80}},
            {"overlong, three bytes", new int[] {0xe0, 0x80, 0xaf}},
            {"overlong, four bytes", new int[] {0xf0, 0x80, 0x80, 0xaf}},
            {"a high surrogate", new int[] {0xed, 0xa0, 0x80}},
            {"a low surrogate", new int[] {0xed, 0xb0, 0x80}},
            {"a pair of surrogates", new int[] {0xed, 0xa0, 0x80, 0xed, 0xb0, 0x80}},
            {"beyond U+10FFFF", new int[] {0xf4, 0x90, 0x80, 0x80}},
            {"five bytes", new int[] {0xf8, 0x88, 0x80, 0x80, 0x80}},
            {"cut after one of two", new int[] {0xc3}},
            {"cut after two of three", new int[] {0xe2, 0x82}},
            {"cut after three of four", new int[] {0xf0, 0x9f, 0x98}}
        };
    }

    @Test(dataProvider = "invalid")
    public void bytesThatNoTextHasAreRefusedWithTheirPlace(String name, int[] bytes) {
        String before = "a€";
        for (String after : new String[] {"", "b", "é"}) {
            ByteArrayOutputStream document = new ByteArrayOutputStream();
            document.writeBytes(before.getBytes(StandardCharsets.UTF_8));
            for (int value : bytes) {
                document.write(value);
            }
            document.writeBytes(after.getBytes(StandardCharsets.UTF_8));
            Result<String> result = Utf8.decode(document.toByteArray(), ErrorKind.BAD_REQUEST);
            SkylarkError error = result.fold(text -> null, e -> e);
            assertThat(error).as("%s before \"%s\"", name, after).isNotNull();
            assertThat(error.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
            assertThat(error.detail()).contains(String.format("0x%02x at offset 4", bytes[0]));
        }
    }

    @Test
    public void textIsDecodedUnchanged() {
        for (String text : new String[] {"", "a", "é€", "😀", "\u0000", "\uFEFFa", "\uFFFD"}) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            assertThat(Utf8.decode(bytes, ErrorKind.BAD_REQUEST)).isEqualTo(Result.success(text));
            assertThat(Utf8.isEncodable(text)).isTrue();
        }
    }

    @Test
    public void halfOfASurrogatePairCannotBeEncoded() {
        assertThat(Utf8.isEncodable("a\uD83D")).isFalse();
        assertThat(Utf8.isEncodable("\uDE00a")).isFalse();
    }
}
