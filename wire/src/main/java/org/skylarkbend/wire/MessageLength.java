package org.skylarkbend.wire;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Check of the headers that delimit the body of a message. */
final class MessageLength {
    private MessageLength() {}

    /**
     * Checks that all servers on the way of a message understand its length in the same way.
     *
     * @throws IllegalArgumentException if they may not
     */
    static void requireClear(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            boolean isChunked =
                    codings.size() == 1
                            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
            boolean hasLength = message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
            if (!isChunked || hasLength || message.protocolVersion() != HttpVersion.HTTP_1_1) {
                throw new IllegalArgumentException("the length of the request is unclear");
            }
        }
        if (message.headers().contains("")) {
            throw new IllegalArgumentException("a header has no name");
        }
    }
}
