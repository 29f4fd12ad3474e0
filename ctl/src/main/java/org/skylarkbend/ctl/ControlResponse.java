package org.skylarkbend.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/** An HTTP response of control. */
public record ControlResponse(int httpStatus, String body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_ERROR_STATUS = 300;

    boolean isSuccess() {
        return httpStatus < FIRST_ERROR_STATUS;
    }

    /** Returns the body as JSON, or a missing node if it is not valid JSON. */
    JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the error in the body, or an internal error if its kind is unknown. */
    SkylarkError error() {
        JsonNode error = json().path("error");
        String code = error.path("kind").asText();
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.code().equals(code)) {
                return new SkylarkError(kind, error.path("detail").asText());
            }
        }
        return new SkylarkError(
                ErrorKind.INTERNAL, "control responded with HTTP status " + httpStatus);
    }
}
