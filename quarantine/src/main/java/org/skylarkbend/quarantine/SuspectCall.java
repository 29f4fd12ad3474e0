package org.skylarkbend.quarantine;

import java.util.List;

/**
 * Call that an engine had accepted, but not begun to answer, when the engine crashed.
 *
 * @param id ID that the caller gave to this attempt
 * @param parts parts of its prompt and the digest of the call
 */
public record SuspectCall(String id, List<PromptPart> parts) {
    /** Creates the record with a copy of {@code parts}. */
    public SuspectCall {
        parts = List.copyOf(parts);
    }
}
