package org.skylarkbend.router;

import java.nio.charset.StandardCharsets;

/**
 * A server-sent event.
 *
 * @param id the ID, or empty if there is none
 * @param data the data, without the field name
 */
public record SseEvent(String id, String data) {
    private static final String END_MARKER = "[DONE]";

    /** Returns whether this is the marker that follows the last event. */
    public boolean isEndMarker() {
        return data.equals(END_MARKER);
    }

    /** Returns the encoded event. */
    public byte[] toBytes() {
        String head = id.isEmpty() ? "" : "id: " + id + "\n";
        return (head + "data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the encoded marker that follows the last event. */
    public static byte[] endMarkerBytes() {
        return new SseEvent("", END_MARKER).toBytes();
    }
}
