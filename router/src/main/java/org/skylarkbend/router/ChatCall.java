package org.skylarkbend.router;

import java.util.List;

/**
 * The fields of a chat call's body that the router needs.
 *
 * @param model the name of the route
 * @param streamed true if the caller requested a streamed response
 * @param joinable true if the router can join streamed events into a non-streaming response
 * @param repeatable true if a second run gives the same response (temperature 0 or a fixed seed)
 * @param maxResponseTokens the maximum number of tokens in the response
 * @param messages the prompt
 */
public record ChatCall(
        String model,
        boolean streamed,
        boolean joinable,
        boolean repeatable,
        long maxResponseTokens,
        List<ChatMessage> messages) {
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Copies the messages. */
    public ChatCall {
        messages = List.copyOf(messages);
    }

    /**
     * Returns whether the engine is asked for a streamed response, even if the caller did not
     * request one. A stream can be resumed, and a stalled stream can be distinguished from a long
     * computation.
     */
    public boolean requestsEngineStream() {
        return streamed || joinable;
    }

    /** Estimates the number of prompt tokens as a quarter of the characters, rounded up. */
    public long promptTokens() {
        long characters = messages.stream().mapToLong(m -> m.text().length()).sum();
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    /** One message of a prompt. */
    public record ChatMessage(String role, String content) {
        /** Returns the text that the prompt tokens are estimated from. */
        public String text() {
            return role + "\n" + content + "\n";
        }
    }
}
