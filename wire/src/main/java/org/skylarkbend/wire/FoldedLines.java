package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;

/**
 * Joins header lines that continue on the next line (obs-fold, RFC 9112 section 5.2). The decoder
 * of Netty copies the whole value once for each continuation.
 */
final class FoldedLines {
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final byte SPACE = ' ';
    private static final byte TAB = '\t';
    private static final byte DELETE = 127;

    private FoldedLines() {}

    /**
     * Replaces each line break before a continuation, and the blanks around it, by one space, up to
     * the empty line that ends the head. The reader index moves on by the bytes that are dropped.
     *
     * @param received bytes from the start of a line
     * @param isStart whether the bytes are the first ones of a head, which may begin with
     *     characters that are skipped
     * @return index up to which the bytes may be decoded: the last line has to wait if it is not
     *     known yet whether it continues
     */
    static int join(ByteBuf received, boolean isStart) {
        int end = received.writerIndex();
        int first = isStart ? skipControlCharacters(received) : received.readerIndex();
        int line = first;
        int decodable = end;
        int joinedEnd = first;
        int lineFeed = received.indexOf(line, end, LINE_FEED);
        while (lineFeed >= 0 && !isEmpty(received, line, lineFeed)) {
            if (lineFeed + 1 == end) {
                decodable = line;
                break;
            }
            if (isBlank(received.getByte(lineFeed + 1))) {
                joinedEnd = lineFeed + 2;
            } else {
                line = lineFeed + 1;
            }
            lineFeed = received.indexOf(lineFeed + 1, end, LINE_FEED);
        }
        return joinedEnd == first ? decodable : join(received, first, joinedEnd, decodable);
    }

    /** Joins the lines of a range, and returns the index to which one in the buffer has moved. */
    private static int join(ByteBuf received, int first, int end, int index) {
        byte[] joined = new byte[end - first];
        int length = 0;
        int lengthBeforeIndex = 0;
        for (int i = first; i < end; i++) {
            lengthBeforeIndex = i == index ? length : lengthBeforeIndex;
            byte character = received.getByte(i);
            if (character == LINE_FEED && i + 1 < end && isBlank(received.getByte(i + 1))) {
                while (length > 0 && isDropped(joined[length - 1])) {
                    length--;
                }
                joined[length++] = SPACE;
                while (i + 1 < end && isBlank(received.getByte(i + 1))) {
                    i++;
                }
            } else {
                joined[length++] = character;
            }
        }
        int start = end - length;
        received.setBytes(start, joined, 0, length);
        received.readerIndex(start);
        return index < end ? start + lengthBeforeIndex : index;
    }

    private static int skipControlCharacters(ByteBuf received) {
        int index = received.readerIndex();
        while (index < received.writerIndex() && isSkipped(received.getByte(index))) {
            index++;
        }
        return index;
    }

    /** Returns whether Netty skips a character in front of a request line. */
    private static boolean isSkipped(byte character) {
        return character >= 0 && character <= SPACE || character == DELETE;
    }

    private static boolean isEmpty(ByteBuf received, int line, int lineFeed) {
        return lineFeed == line
                || lineFeed == line + 1 && received.getByte(line) == CARRIAGE_RETURN;
    }

    private static boolean isDropped(byte character) {
        return character == CARRIAGE_RETURN || isBlank(character);
    }

    private static boolean isBlank(byte character) {
        return character == SPACE || character == TAB;
    }
}
