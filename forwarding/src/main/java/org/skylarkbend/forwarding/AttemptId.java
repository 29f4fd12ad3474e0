package org.skylarkbend.forwarding;

/**
 * Identifier of one attempt to send a call to an endpoint. The endpoint echoes it in its response.
 *
 * @param call the ID of the call, unique across all routers and their incarnations
 * @param number the number of the attempt within the call, counted from 1
 */
public record AttemptId(String call, int number) {
    /** Returns the text form that is sent to the endpoint. */
    public String value() {
        return call + "." + number;
    }

    /** Returns the ID of the next attempt of the same call. */
    public AttemptId next() {
        return new AttemptId(call, number + 1);
    }
}
