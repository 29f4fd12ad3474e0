package org.skylarkbend.gateway.endpoints;

import java.util.List;

/**
 * The prompt of a call, as far as the choice of an engine needs it.
 *
 * @param model the model
 * @param parts its parts in order; the last belongs to the call or its session alone
 * @param promptTokens how many tokens it has in all
 * @param maxAnswerTokens the most tokens of its answer
 */
public record Prompt(String model, List<Part> parts, long promptTokens, long maxAnswerTokens) {
    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** A part of a prompt. */
    public record Part(String id, long tokens) {}

    /** The tokens that other calls may have brought to an engine before. */
    public long sharedTokens() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToLong(Part::tokens).sum();
    }

    /** What names the shared parts together; empty where nothing is shared. */
    public String sharedKey() {
        StringBuilder key = new StringBuilder();
        for (int i = 0; i + 1 < parts.size(); i++) {
            key.append(parts.get(i).id()).append(',');
        }
        return key.toString();
    }
}
