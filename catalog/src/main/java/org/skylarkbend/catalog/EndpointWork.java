package org.skylarkbend.catalog;

/**
 * Work in flight at an endpoint.
 *
 * @param promptTokens number of prompt tokens that it has not processed yet
 * @param calls number of calls that it runs or queues
 */
public record EndpointWork(long promptTokens, long calls) {
    /** Returns an instance without any work. */
    public static EndpointWork none() {
        return new EndpointWork(0, 0);
    }

    /** Returns the sum of this and other work. */
    public EndpointWork plus(EndpointWork other) {
        return new EndpointWork(promptTokens + other.promptTokens, calls + other.calls);
    }

    /** Returns this work without a part of it. Neither number falls below 0. */
    public EndpointWork minus(EndpointWork part) {
        return new EndpointWork(
                Math.max(0, promptTokens - part.promptTokens), Math.max(0, calls - part.calls));
    }
}
