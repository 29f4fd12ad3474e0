package org.skylarkbend.quarantine;

import java.util.Set;

/**
 * Parts that are suspected most without being quarantined.
 *
 * @param parts the suspected parts
 * @param calls IDs of the calls with these parts that waited at crashed endpoints
 * @param crashes number of these crashes
 * @param answers answers to other calls since the first of them
 * @param reason what speaks against a quarantine
 */
public record Undecided(
        PartCombination parts, Set<String> calls, int crashes, long answers, Reason reason) {
    /** What speaks against a quarantine. */
    public enum Reason {
        /** Gateways may still report answers. */
        REPORTS_ARE_DUE,
        /** One crash may have any cause. */
        ONE_CRASH,
        /** Too few other calls were answered to tell anything. */
        FEW_ANSWERS,
        /** The parts were answered before the crashes. */
        ANSWERED_BEFORE,
        /** Other parts waited at as many crashes. */
        OTHERS_ARE_AS_SUSPICIOUS,
        /** One or two calls account for the crashes, and each of them needs one more. */
        TWO_CALLS_EXPLAIN_IT
    }

    /** Creates the record with a copy of {@code calls}. */
    public Undecided {
        calls = Set.copyOf(calls);
    }
}
