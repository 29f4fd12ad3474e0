package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;

/** Sizes of chunks, with the characters around them that the decoder of Netty accepts. */
final class ChunkSizes {
    private static final byte SPACE = ' ';
    private static final byte DELETE = 127;

    private ChunkSizes() {}

    /**
     * Returns whether decoded bytes are the size line of the last chunk of a body, which is zero.
     *
     * @param received the decoded bytes end at its reader index
     * @param start index of the first decoded byte
     */
    static boolean isLast(ByteBuf received, int start) {
        int end = received.readerIndex();
        int index = start;
        while (index < end && isSpace(received.getByte(index))) {
            index++;
        }
        int digits = index;
        while (index < end && received.getByte(index) == '0') {
            index++;
        }
        return index > digits && index < end && isEnd(received.getByte(index));
    }

    private static boolean isSpace(byte character) {
        return character == SPACE || Character.isWhitespace(character);
    }

    private static boolean isEnd(byte character) {
        return character == ';' || character >= 0 && character <= SPACE || character == DELETE;
    }
}
