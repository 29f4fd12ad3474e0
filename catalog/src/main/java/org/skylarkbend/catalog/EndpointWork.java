package org.skylarkbend.catalog;

/**
 * What callers of an endpoint have under way there.
 *
 * @param promptTokens the tokens of prompts that it has not read yet
 * @param calls the calls that it runs or holds in its queue
 */
public record EndpointWork(long promptTokens, long calls) {
    /** Nothing. */
    public static EndpointWork none() {
        return new EndpointWork(0, 0);
    }

    /** Both together. */
    public EndpointWork plus(EndpointWork other) {
        return new EndpointWork(promptTokens + other.promptTokens, calls + other.calls);
    }

    /** What is left of this without another part of it. */
    public EndpointWork minus(EndpointWork part) {
        return new EndpointWork(
                Math.max(0, promptTokens - part.promptTokens), Math.max(0, calls - part.calls));
    }
}
