package org.skylarkbend.router.front;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;

/** Errors for requests that are malformed, exceed a limit or arrive during shutdown. */
final class RequestErrors {
    private RequestErrors() {}

    static SkylarkError bodyTooLarge(long maxBodyBytes) {
        String detail = "the body is larger than " + maxBodyBytes + " bytes";
        return new SkylarkError(ErrorKind.BODY_TOO_LARGE, detail);
    }

    static SkylarkError headersTooLarge(long maxHeaderBytes) {
        String detail = "the headers are larger than " + maxHeaderBytes + " bytes";
        return new SkylarkError(ErrorKind.HEADERS_TOO_LARGE, detail);
    }

    static SkylarkError noMemory() {
        return new SkylarkError(ErrorKind.OVERLOADED, "there is no memory for the request body");
    }

    static SkylarkError readTimedOut() {
        return new SkylarkError(ErrorKind.BAD_REQUEST, "the request was not completed in time");
    }

    static SkylarkError notHttp() {
        return new SkylarkError(ErrorKind.BAD_REQUEST, "the request is not valid HTTP/1.1");
    }

    static SkylarkError draining() {
        return new SkylarkError(ErrorKind.ROUTER_DRAINING, "this router is shutting down");
    }
}
