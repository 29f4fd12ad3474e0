package org.skylarkbend.replay.trace;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PrefixChain;

/**
 * A request in a trace.
 *
 * @param atMilliseconds arrival time from the beginning of the trace
 * @param customer customer that sent the request
 * @param route route of the request
 * @param chain block hashes and token count of the prompt
 * @param answerTokens token count of the response
 * @param outcome outcome when the request was recorded, if known
 */
public record TraceRequest(
        long atMilliseconds,
        ObjectName customer,
        ObjectName route,
        PrefixChain chain,
        long answerTokens,
        Optional<String> outcome) {}
