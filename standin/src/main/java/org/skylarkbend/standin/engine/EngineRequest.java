package org.skylarkbend.standin.engine;

/**
 * A completion request.
 *
 * @param attempt the ID of this attempt to send the request
 * @param scope the cache scope; cached blocks are shared only within one scope
 * @param prompt the blocks of the prompt
 * @param firstWord the first word of the response, which lets a caller recognize the response to
 *     its own request
 * @param answerTokens the length of the response in tokens
 * @param priority the priority; 0 is served first
 */
public record EngineRequest(
        String attempt,
        String scope,
        PromptBlocks prompt,
        String firstWord,
        int answerTokens,
        int priority) {}
