package org.skylarkbend.standin.load;

/**
 * The settings of a load run.
 *
 * @param directUrl the URL of a fake engine
 * @param directCredential the bearer token of the fake engine
 * @param routerUrl the URL of a router
 * @param key the API key for the router
 * @param route the name of the route
 * @param pairs the number of measured request pairs
 * @param warmUpPairs the number of request pairs sent before the measurement
 * @param promptChars the approximate length of the prompt in characters
 * @param answerTokens the length of the response in tokens
 */
public record LoadPlan(
        String directUrl,
        String directCredential,
        String routerUrl,
        String key,
        String route,
        int pairs,
        int warmUpPairs,
        int promptChars,
        int answerTokens) {}
