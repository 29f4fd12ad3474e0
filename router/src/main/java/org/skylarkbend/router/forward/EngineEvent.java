package org.skylarkbend.router.forward;

import java.util.Optional;

/**
 * One decoded event of an engine's response stream.
 *
 * @param position the position in the stream, starting at 1
 * @param content a hash of the content that the event adds to the response
 * @param usage the token usage of the call, present only in the final event
 */
public record EngineEvent(long position, long content, Optional<TokenUsage> usage) {
    /** Token usage of a call. */
    public record TokenUsage(long promptTokens, long cachedTokens, long responseTokens) {}
}
