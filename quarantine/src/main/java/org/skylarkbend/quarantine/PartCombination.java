package org.skylarkbend.quarantine;

import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Parts that a prompt must all contain to be refused. There is more than one part if they always
 * occurred together, so that the crashes do not tell which of them is the cause: prompts with only
 * some of them are served, and show more.
 */
public record PartCombination(SortedSet<PromptPart> parts) implements Comparable<PartCombination> {
    /**
     * Creates a combination with a copy of the parts.
     *
     * @throws IllegalArgumentException if there are none, as every prompt would contain them
     */
    public PartCombination {
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("a combination of prompt parts is empty");
        }
        parts = Collections.unmodifiableSortedSet(new TreeSet<>(parts));
    }

    /** Returns a combination of these parts. */
    public static PartCombination of(Collection<PromptPart> parts) {
        return new PartCombination(new TreeSet<>(parts));
    }

    /** Returns whether a prompt with these parts contains the combination. */
    public boolean isIn(Collection<PromptPart> promptParts) {
        return promptParts.containsAll(parts);
    }

    /** Returns the IDs of the parts, for logs. */
    public String ids() {
        return String.join("+", parts.stream().map(PromptPart::id).toList());
    }

    @Override
    public int compareTo(PartCombination other) {
        Iterator<PromptPart> own = parts.iterator();
        Iterator<PromptPart> others = other.parts.iterator();
        while (own.hasNext() && others.hasNext()) {
            int order = own.next().compareTo(others.next());
            if (order != 0) {
                return order;
            }
        }
        return Boolean.compare(own.hasNext(), others.hasNext());
    }
}
