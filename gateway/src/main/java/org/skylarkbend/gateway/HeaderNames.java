package org.skylarkbend.gateway;

import java.util.Set;

/**
 * Names of the HTTP headers that a gateway reads and sets. They are configured by the operator of
 * the site.
 *
 * @param requestId identifies one attempt of a caller; endpoints repeat it in their responses
 * @param deadline time in milliseconds until the caller gives up
 * @param seal signature of a response, set by the endpoint
 * @param notRun set on a response if the endpoint did not run the call
 * @param expectInstance ID of the only endpoint that may run the call
 * @param customer name of the customer that made the call
 * @param load load of the endpoint: running calls, waiting calls, slots
 * @param leaving set on the responses of an endpoint that is shutting down
 * @param brittle set on the responses of an endpoint that falls over if it has to refuse many calls
 * @param lastEventId ID of the last event received, after which a stream resumes
 * @param engine headers of calls to engines
 * @param reserved lower-case names of headers that callers may not set
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String seal,
        String notRun,
        String expectInstance,
        String customer,
        String load,
        String leaving,
        String brittle,
        String lastEventId,
        Engine engine,
        Set<String> reserved) {
    /**
     * Names of the headers of calls to engines.
     *
     * @param model model that the call addresses
     * @param tokens number of prompt tokens and maximum number of answer tokens
     * @param promptPrefix IDs of the parts of the prompt, each with its number of tokens
     * @param urgency priority of the call at the engine, from 0 (most urgent) to 9
     * @param cacheScope scope within which the engine may reuse cached prompt parts
     * @param expectVersion only version of the weights that may run the call
     * @param cacheSource address of the engine or store from which cached prompt parts may be
     *     fetched
     * @param cacheStore address of the store to which the engine saves the prompt parts it has
     *     processed
     */
    public record Engine(
            String model,
            String tokens,
            String promptPrefix,
            String urgency,
            String cacheScope,
            String expectVersion,
            String cacheSource,
            String cacheStore) {}

    /** Creates the names with a copy of {@code reserved}. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
