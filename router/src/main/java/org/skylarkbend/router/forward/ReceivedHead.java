package org.skylarkbend.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.forwarding.AttemptId;
import org.skylarkbend.forwarding.ResponseHead;
import org.skylarkbend.router.HttpHeader;

/**
 * Status and headers of an endpoint's response, as the router uses them.
 *
 * @param head the parts of the response head that the attempt decider needs
 * @param isEventStream true if the body is a stream of server-sent events
 * @param isFramed true if the end of the body can be distinguished from a broken connection
 * @param headers the headers to be forwarded to the caller
 */
record ReceivedHead(
        ResponseHead head, boolean isEventStream, boolean isFramed, List<HttpHeader> headers) {
    private static final String ATTEMPT_HEADER = "X-Skylark-Attempt";
    private static final String NOT_RUN_HEADER = "X-Skylark-Not-Run";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);
    private static final List<String> FORWARDED_HEADERS =
            List.of("Content-Type", "ETag", "Location", "Last-Modified", "Cache-Control");

    static ReceivedHead of(ResponseStart start) {
        ResponseHead head =
                new ResponseHead(
                        start.status(),
                        Optional.ofNullable(start.header(ATTEMPT_HEADER)),
                        "true".equalsIgnoreCase(start.header(NOT_RUN_HEADER)));
        String contentType = start.header("Content-Type");
        boolean isEventStream = contentType != null && contentType.startsWith(EVENT_STREAM);
        boolean isFramed =
                start.headers().contains("Content-Length")
                        || start.headers().contains("Transfer-Encoding")
                        || STATUSES_WITHOUT_BODY.contains(start.status());
        return new ReceivedHead(head, isEventStream, isFramed, forwardedHeaders(start));
    }

    /**
     * Returns whether a response names another attempt, so that the one to this attempt may follow
     * it.
     */
    static boolean isOfOtherAttempt(ResponseStart start, AttemptId attempt) {
        List<String> attempts = start.headers().getAll(ATTEMPT_HEADER);
        return !attempts.isEmpty() && !attempts.contains(attempt.value());
    }

    private static List<HttpHeader> forwardedHeaders(ResponseStart start) {
        List<HttpHeader> forwarded = new ArrayList<>();
        for (String name : FORWARDED_HEADERS) {
            start.headers()
                    .getAll(name)
                    .forEach(value -> forwarded.add(new HttpHeader(name, value)));
        }
        return forwarded;
    }
}
