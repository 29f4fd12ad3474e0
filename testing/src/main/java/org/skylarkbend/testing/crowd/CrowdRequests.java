package org.skylarkbend.testing.crowd;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.skylarkbend.testing.crowd.CallerCrowd.Request;

/**
 * Requests of legal size that take a process much memory. Each method gets the request line and the
 * first headers of a request, each with its line break.
 */
public final class CrowdRequests {
    private static final int HEAD_BYTES = 15_000;
    private static final int PIPELINED_LINES = 180;
    private static final int PIPELINED_REQUESTS = 300;
    private static final int BODY_BYTES = 4_000_000;
    private static final int BODY_PIECES = 16;
    private static final int FOLDED_VALUE_BYTES = 8_000;
    private static final int FOLDED_LINES = 2_400;
    private static final String SHORT_LINE = "a:1\r\n";
    private static final String LAST_BYTE_MISSING = "Content-Length: 2\r\n\r\nx";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private CrowdRequests() {}

    /** Returns complete requests with many short lines, one behind the other. */
    public static Request pipelined(String start) {
        return new Request("", headOfShortLines(start), PIPELINED_REQUESTS);
    }

    /** Returns the same with a body of one byte in each request. */
    public static Request pipelinedWithBodies(String start) {
        String request = headOfShortLines(start + "Content-Length: 1\r\n") + "y";
        return new Request("", request, PIPELINED_REQUESTS);
    }

    /** Returns complete requests with a long header value that continues on many empty lines. */
    public static Request pipelinedWithFoldedLines(String start) {
        String value =
                "f: " + "x".repeat(FOLDED_VALUE_BYTES) + "\r\n" + " \r\n".repeat(FOLDED_LINES);
        return new Request("", start + value + "\r\n", PIPELINED_REQUESTS);
    }

    /** Returns complete requests without a body, one behind the other. */
    public static Request pipelinedWithoutBodies(String start) {
        return new Request("", start + "\r\n", PIPELINED_REQUESTS);
    }

    /** Returns one complete request with a small body. */
    public static Request complete(String start, String body) {
        return new Request(start + "Content-Length: " + body.length() + "\r\n\r\n" + body, "", 0);
    }

    private static String headOfShortLines(String start) {
        return start + SHORT_LINE.repeat(PIPELINED_LINES) + "\r\n";
    }

    /** Returns a head of many lines without its end. */
    public static Request incompleteHead(String start, String line) {
        return new Request(start + line.repeat(HEAD_BYTES / line.length()), "", 0);
    }

    /** Returns a head of many lines with a body that lacks its last byte. */
    public static Request incompleteBody(String start, String line) {
        String head = start + line.repeat(HEAD_BYTES / line.length());
        return new Request(head + LAST_BYTE_MISSING, "", 0);
    }

    /** Returns the same with a name of its own and odd characters in each line. */
    public static Request incompleteBodyWithOddLines(String start) {
        String lines =
                IntStream.range(0, HEAD_BYTES / 8)
                        .mapToObj(number -> String.format("%x:\t,\r\n", number))
                        .collect(Collectors.joining());
        return new Request(start + lines + LAST_BYTE_MISSING, "", 0);
    }

    /** Returns a large body that lacks its last byte. */
    public static Request largeBody(String start) {
        return new Request(
                start + "Content-Length: " + (BODY_BYTES + 1) + "\r\n\r\n",
                "x".repeat(BODY_BYTES / BODY_PIECES),
                BODY_PIECES);
    }

    /** Returns a large body that is complete. */
    public static Request completeLargeBody(String start) {
        return new Request(
                start + "Content-Length: " + BODY_BYTES + "\r\n\r\n",
                "x".repeat(BODY_BYTES / BODY_PIECES),
                BODY_PIECES);
    }

    /** Returns a large body in chunks without the last one. */
    public static Request largeBodyInChunks(String start) {
        int bytes = BODY_BYTES / BODY_PIECES;
        String chunk = Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
        return new Request(start + CHUNKED, chunk, BODY_PIECES);
    }

    /** Returns a body in chunks of one byte with a chunk extension each, without the last one. */
    public static Request smallChunks(String start, int chunks) {
        return new Request(start + CHUNKED, "1;e=" + "x".repeat(56) + "\r\ny\r\n", chunks);
    }

    /** Returns a complete body in chunks whose trailer section has no end. */
    public static Request incompleteTrailers(String start) {
        return new Request(
                start + CHUNKED + "1\r\ny\r\n0\r\n", SHORT_LINE, HEAD_BYTES / SHORT_LINE.length());
    }

    /** Returns a connection without a request. */
    public static Request none() {
        return new Request("", "", 0);
    }
}
