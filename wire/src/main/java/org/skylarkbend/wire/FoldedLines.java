package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Joins header lines that continue on the next line (obs-fold, RFC 9112 section 5.2). The decoder
 * of Netty copies the whole value once for each continuation. The state is that of one connection.
 */
final class FoldedLines {
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final byte SPACE = ' ';
    private static final byte TAB = '\t';

    private final int mMaxBytes;

    /** Bytes by which the lines of a head or of a trailer section became shorter. */
    private int mJoinedBytes;

    /**
     * Creates the lines of one connection.
     *
     * @param maxBytes bytes by which joined lines may become shorter, and size of a line beyond
     *     which it does not wait for its continuation
     */
    FoldedLines(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Replaces each line break before a continuation, and the blanks around it, by one space, up to
     * the empty line that ends the head. The reader index moves on by the bytes that are dropped.
     * Line breaks that the decoder refuses are left to it.
     *
     * @param received bytes from the start of a line
     * @param isStart whether the bytes are the first ones of a head, which may begin with
     *     characters that are skipped
     * @return index up to which the bytes may be decoded, which leaves out the last line feed if it
     *     is not known yet whether or how the line continues
     */
    int join(ByteBuf received, boolean isStart) {
        int end = received.writerIndex();
        if (isTooLong()) {
            return end;
        }
        int first = isStart ? skipControlCharacters(received) : received.readerIndex();
        int line = first;
        int decodable = end;
        int joinedEnd = first;
        int lineFeed = received.indexOf(line, end, LINE_FEED);
        while (lineFeed >= 0 && !isEmpty(received, line, lineFeed)) {
            int next = skipBlanks(received, lineFeed + 1);
            if (next == end) {
                decodable = end - line > mMaxBytes ? end : lineFeed;
                break;
            }
            if (isFold(received, lineFeed, next)) {
                joinedEnd = next;
            } else {
                line = lineFeed + 1;
            }
            lineFeed = received.indexOf(lineFeed + 1, end, LINE_FEED);
        }
        if (joinedEnd > first) {
            join(received, first, joinedEnd);
        }
        return decodable;
    }

    /** Joins the lines of a range, whose end stays where it is. */
    private void join(ByteBuf received, int first, int end) {
        byte[] joined = new byte[end - first];
        int length = 0;
        int index = first;
        while (index < end) {
            byte character = received.getByte(index);
            int next = character == LINE_FEED ? skipBlanks(received, index + 1) : index + 1;
            if (isFold(received, index, next)) {
                length--;
                while (length > 0 && isBlank(joined[length - 1])) {
                    length--;
                }
                joined[length++] = SPACE;
                index = next;
            } else {
                joined[length++] = character;
                index++;
            }
        }
        int start = end - length;
        received.setBytes(start, joined, 0, length);
        mJoinedBytes += start - received.readerIndex();
        received.readerIndex(start);
    }

    /** Called at the end of a head or of a trailer section. */
    void sectionEnded() {
        mJoinedBytes = 0;
    }

    /** Called with each line that is decoded. */
    void requireWithinLimit() {
        if (isTooLong()) {
            throw new TooLongHttpHeaderException("header lines exceed " + mMaxBytes + " bytes");
        }
    }

    private boolean isTooLong() {
        return mJoinedBytes > mMaxBytes;
    }

    /**
     * Returns whether a line continues behind a character: a line break that the decoder accepts,
     * with blanks behind it.
     *
     * @param next index of the first character behind the blanks
     */
    private static boolean isFold(ByteBuf received, int index, int next) {
        return next > index + 1 && received.getByte(index - 1) == CARRIAGE_RETURN;
    }

    private static int skipBlanks(ByteBuf received, int start) {
        int index = start;
        while (index < received.writerIndex() && isBlank(received.getByte(index))) {
            index++;
        }
        return index;
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
        return character >= 0 && character <= SPACE;
    }

    private static boolean isEmpty(ByteBuf received, int line, int lineFeed) {
        return lineFeed == line
                || lineFeed == line + 1 && received.getByte(line) == CARRIAGE_RETURN;
    }

    private static boolean isBlank(byte character) {
        return character == SPACE || character == TAB;
    }
}
