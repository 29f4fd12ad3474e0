package org.skylarkbend.exchange;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Finds parts of responses that must not be taken for what they look like. */
final class ResponseFaults {
    /** Status line in any form that some parser accepts. */
    private static final Pattern STATUS_LINE = Pattern.compile("(?i)HTTP/\\d\\S*\\s+\\+?\\d");

    private static final int SWITCHING_PROTOCOLS = 101;

    private ResponseFaults() {}

    /** Returns a description of the fault of a part, if it has one. */
    static Optional<String> in(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return Optional.of("invalid response: " + part.decoderResult().cause().getMessage());
        }
        if (!(part instanceof HttpResponse response)) {
            return Optional.empty();
        }
        if (response.status().code() == SWITCHING_PROTOCOLS) {
            return Optional.of("the endpoint switches protocols without being asked to");
        }
        return secondStatusLine(response)
                .map(found -> "the head contains a second status line: " + found);
    }

    /**
     * Returns the part of a head that contains the status line of another response, if any. The
     * endpoint then sent the beginning of one response in front of another, and the head has fields
     * of both.
     */
    private static Optional<String> secondStatusLine(HttpResponse response) {
        if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
            return Optional.of(response.status().reasonPhrase());
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (STATUS_LINE.matcher(header.getValue()).find()) {
                return Optional.of(header.getKey() + ": " + header.getValue());
            }
        }
        return Optional.empty();
    }
}
