package org.skylarkbend.gateway.endpoints;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.skylarkbend.quarantine.PromptPart;

/**
 * Description of the prompt of a call for the selection of an engine.
 *
 * @param model model that the call addresses
 * @param parts parts of the prompt in order; the last one is private to the call or its session
 * @param promptTokens total number of prompt tokens
 * @param maxAnswerTokens maximum number of answer tokens
 * @param isUsageKnown true if the caller named both numbers of tokens; otherwise they are estimates
 */
public record Prompt(
        String model,
        List<Part> parts,
        long promptTokens,
        long maxAnswerTokens,
        boolean isUsageKnown) {
    private static final int MAX_SHARED_PARTS = 64;

    /** Creates a prompt with a copy of {@code parts}. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Creates a prompt whose caller named both numbers of tokens. */
    public Prompt(String model, List<Part> parts, long promptTokens, long maxAnswerTokens) {
        this(model, parts, promptTokens, maxAnswerTokens, true);
    }

    /** Creates a prompt whose caller named only its parts. */
    public static Prompt ofParts(String model, List<Part> parts) {
        long promptTokens = parts.stream().mapToLong(Part::tokens).sum();
        return new Prompt(model, parts, promptTokens, 0, false);
    }

    /** Part of a prompt with its number of tokens. */
    public record Part(String id, long tokens) {}

    /** Returns the number of tokens in the parts that other calls may share. */
    public long sharedTokens() {
        return sharedPrefix().mapToLong(Part::tokens).sum();
    }

    /**
     * Returns the parts that other calls may share, without those of an unusually long list, which
     * would make reports of crashes large.
     */
    public List<PromptPart> sharedParts() {
        return sharedPrefix()
                .limit(MAX_SHARED_PARTS)
                .map(part -> new PromptPart(model, part.id()))
                .toList();
    }

    /** Returns the part that is private to the call or its session, if the prompt has parts. */
    public Optional<PromptPart> ownPart() {
        return parts.isEmpty()
                ? Optional.empty()
                : Optional.of(new PromptPart(model, parts.get(parts.size() - 1).id()));
    }

    private Stream<Part> sharedPrefix() {
        return parts.stream().limit(Math.max(0, parts.size() - 1));
    }

    /** Returns the cache key of the shared parts; empty if there are none. */
    public String sharedKey() {
        StringBuilder key = new StringBuilder();
        for (int i = 0; i + 1 < parts.size(); i++) {
            key.append(parts.get(i).id()).append(',');
        }
        return key.toString();
    }
}
