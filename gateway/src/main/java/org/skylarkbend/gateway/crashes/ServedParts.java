package org.skylarkbend.gateway.crashes;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.quarantine.PromptPart;

/**
 * The parts of prompts that engines answered lately. Bounded: the part whose last answer is the
 * oldest is dropped first. Confined to the task that serves the calls.
 */
final class ServedParts {
    private static final int MAX_PARTS = 4_096;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPart, Long> mServedMilliseconds =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<PromptPart, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    private final Map<String, Long> mAnsweredCalls = new HashMap<>();

    /** Records that a call of a model, with these parts, was answered. */
    void served(String model, List<PromptPart> parts, long nowMilliseconds) {
        mAnsweredCalls.merge(model, 1L, Long::sum);
        parts.forEach(part -> mServedMilliseconds.put(part, nowMilliseconds));
    }

    /**
     * Records that a call with these parts was answered, for those of them that are watched. Parts
     * that hardly any call shares would displace the others.
     */
    void addWatched(List<PromptPart> parts, Set<PromptPart> watched, long nowMilliseconds) {
        parts.stream()
                .filter(watched::contains)
                .forEach(part -> mServedMilliseconds.put(part, nowMilliseconds));
    }

    /** Returns the time since the last answer, for those of the parts that were answered. */
    Map<PromptPart, Long> servedAgesMilliseconds(Set<PromptPart> parts, long nowMilliseconds) {
        Map<PromptPart, Long> ages = new HashMap<>();
        for (PromptPart part : parts) {
            Long servedMilliseconds = mServedMilliseconds.get(part);
            if (servedMilliseconds != null) {
                ages.put(part, nowMilliseconds - servedMilliseconds);
            }
        }
        return ages;
    }

    /** Returns the number of answered calls of each model. */
    Map<String, Long> answeredCalls() {
        return Map.copyOf(mAnsweredCalls);
    }
}
