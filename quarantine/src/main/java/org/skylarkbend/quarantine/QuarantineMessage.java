package org.skylarkbend.quarantine;

/** Change of the quarantined parts, an entry of the replicated log. */
public sealed interface QuarantineMessage {
    /** Returns what the change is about. */
    PartCombination combination();

    /** Calls whose prompt contains the combination are refused. */
    record Imposed(PartCombination combination) implements QuarantineMessage {}

    /** A quarantine has ended. It is imposed again after one more crash. */
    record Lifted(PartCombination combination) implements QuarantineMessage {}
}
