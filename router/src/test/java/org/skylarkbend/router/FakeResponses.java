package org.skylarkbend.router;

import java.nio.charset.StandardCharsets;

/** Encoded HTTP responses of fake endpoints. */
final class FakeResponses {
    private FakeResponses() {}

    static String full(String attempt, int status, String body) {
        return full(attempt, status, body, "");
    }

    static String full(String attempt, int status, String body, String moreHeaders) {
        int bodyBytes = body.getBytes(StandardCharsets.UTF_8).length;
        return "HTTP/1.1 "
                + status
                + " Status\r\nX-Skylark-Attempt: "
                + attempt
                + "\r\nContent-Type: application/json\r\n"
                + moreHeaders
                + "Content-Length: "
                + bodyBytes
                + "\r\n\r\n"
                + body;
    }

    static String streamHead(String attempt) {
        return "HTTP/1.1 200 OK\r\nX-Skylark-Attempt: "
                + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String event(int position, String content) {
        return chunk(
                "id: "
                        + position
                        + "\ndata: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\""
                        + content
                        + "\"}}]}\n\n");
    }

    static String lastEvent(int position) {
        return chunk(
                "id: "
                        + position
                        + "\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,"
                        + "\"completion_tokens\":3}}\n\n");
    }

    static String endMarker() {
        return chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    }

    /** Returns a complete stream of these contents, starting after the given position. */
    static String stream(String attempt, int afterPosition, String... contents) {
        StringBuilder text = new StringBuilder(streamHead(attempt));
        for (int i = afterPosition; i < contents.length; i++) {
            text.append(event(i + 1, contents[i]));
        }
        return text.append(lastEvent(contents.length + 1)).append(endMarker()).toString();
    }

    private static String chunk(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return Integer.toHexString(bytes) + "\r\n" + text + "\r\n";
    }
}
