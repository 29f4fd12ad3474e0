package org.skylarkbend.router.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkbend.base.SkylarkError;

/** Encodes error responses for callers. */
final class ErrorResponseCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private ErrorResponseCodec() {}

    static String encode(SkylarkError error) {
        ObjectNode root = JSON.createObjectNode();
        root.putObject("error")
                .put("kind", error.kind().code())
                .put("run_state", error.kind().runState().code())
                .put("detail", error.detail());
        try {
            return JSON.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an error could not be encoded as JSON", e);
        }
    }

    static String encodeAsEvent(SkylarkError error) {
        return "event: error\ndata: " + encode(error) + "\n\n";
    }

    static String retryAfterSeconds(long milliseconds) {
        long seconds = (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        return String.valueOf(Math.max(1, seconds));
    }
}
