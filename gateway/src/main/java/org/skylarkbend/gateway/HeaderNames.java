package org.skylarkbend.gateway;

import java.util.Set;

/**
 * The names of the headers that a gateway reads and sets. They belong to whoever runs the site.
 *
 * @param requestId names one try of a caller; endpoints repeat it in their answers
 * @param deadline how many milliseconds the caller still waits
 * @param seal the endpoint's own signature of an answer
 * @param notRun says that the endpoint has not run the call
 * @param expectInstance the identity of the only endpoint that may run the call
 * @param customer the customer of the call
 * @param load what the endpoint has to do: running, waiting, slots
 * @param lastEvent after which event a stream goes on
 * @param engine the headers of calls to engines
 * @param reserved lower-case names that callers may not set
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String seal,
        String notRun,
        String expectInstance,
        String customer,
        String load,
        String lastEvent,
        Engine engine,
        Set<String> reserved) {
    /**
     * The headers of calls to engines.
     *
     * @param model the model that the call asks
     * @param tokens prompt tokens and the most answer tokens
     * @param promptParts the parts of the prompt with their tokens
     * @param urgency how urgent the call is to the engine, 0 to 9
     * @param cacheScope which cached parts the engine may use
     * @param expectVersion the only version of weights that may run the call
     * @param cacheSource the engine or store from which cached parts may be fetched
     * @param cacheStore the store that keeps what the engine reads
     */
    public record Engine(
            String model,
            String tokens,
            String promptParts,
            String urgency,
            String cacheScope,
            String expectVersion,
            String cacheSource,
            String cacheStore) {}

    /** Copies the set. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
