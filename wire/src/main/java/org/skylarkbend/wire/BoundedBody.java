package org.skylarkbend.wire;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Reads the bodies of responses up to a maximum size. */
public final class BoundedBody {
    private BoundedBody() {}

    /**
     * Reads a body. Fails, and closes the connection, if it is larger than the maximum: a faulty
     * server may go on sending until the connection is closed.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        Promise<Buffer> complete = Promise.promise();
        Buffer body = Buffer.buffer();
        response.handler(
                chunk -> {
                    if (body.length() + chunk.length() <= maxBytes) {
                        body.appendBuffer(chunk);
                    } else if (complete.tryFail("the response is too large")) {
                        response.request().connection().close();
                    }
                });
        response.exceptionHandler(complete::tryFail);
        response.endHandler(ignored -> complete.tryComplete(body));
        return complete.future();
    }
}
