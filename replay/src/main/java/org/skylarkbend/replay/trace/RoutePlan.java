package org.skylarkbend.replay.trace;

/**
 * Shape of the generated requests of a route.
 *
 * @param route the route
 * @param share share of the route in all requests
 * @param systemBlocks number of blocks that begin all prompts of a customer on the route
 * @param documents number of documents of a customer
 * @param minDocumentBlocks length of the shortest document
 * @param maxDocumentBlocks length of the longest document
 * @param meanAnswerTokens mean length of a response
 */
record RoutePlan(
        TraceRoute route,
        double share,
        int systemBlocks,
        int documents,
        int minDocumentBlocks,
        int maxDocumentBlocks,
        int meanAnswerTokens) {}
