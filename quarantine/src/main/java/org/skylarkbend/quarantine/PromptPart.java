package org.skylarkbend.quarantine;

import java.util.Comparator;

/**
 * Something that several calls may share and that may crash endpoints: a part of a prompt, or the
 * digest of a whole call, which is shared by its repetitions.
 *
 * @param model model that reads the prompt, or service of a call without a prompt; empty if the
 *     call names none
 * @param id ID of the part, the same in all calls that share it
 */
public record PromptPart(String model, String id) implements Comparable<PromptPart> {
    private static final Comparator<PromptPart> ORDER =
            Comparator.comparing(PromptPart::model).thenComparing(PromptPart::id);

    @Override
    public int compareTo(PromptPart other) {
        return ORDER.compare(this, other);
    }
}
