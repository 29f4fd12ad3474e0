package org.skylarkbend.limits;

/**
 * A simulated call.
 *
 * @param id the identifier
 * @param router the index of the router that receives it
 * @param arrivesAtMilliseconds the arrival time
 * @param promptTokens the tokens used by the first token of the response
 * @param maxAnswerTokens the tokens reserved for the answer
 * @param answerTokens the tokens used for the answer
 * @param promptMilliseconds the time from admission to the first token
 * @param responseMilliseconds the time from the first token to the end
 */
record SimulatedCall(
        long id,
        int router,
        long arrivesAtMilliseconds,
        long promptTokens,
        long maxAnswerTokens,
        long answerTokens,
        long promptMilliseconds,
        long responseMilliseconds) {
    long reservedTokens() {
        return promptTokens + maxAnswerTokens;
    }
}
