package org.skylarkbend.catalog;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Decides which of two entries of a list counts if both name the same incarnation at different
 * addresses. An incarnation does not move, so the address of the list before stays, and without one
 * the first. Confined to the task that reads the list.
 */
public final class ListedAddresses {
    private Map<String, String> mAddresses = Map.of();

    /**
     * Returns the endpoints of a new list, each incarnation once.
     *
     * @param listed entries in the order of the list
     * @param leftOut receives each entry that contradicts one that counts
     */
    public List<Endpoint> accept(List<Endpoint> listed, Consumer<Endpoint> leftOut) {
        Map<String, Endpoint> accepted = new LinkedHashMap<>();
        for (Endpoint endpoint : listed) {
            accepted.merge(
                    endpoint.incarnation(),
                    endpoint,
                    (earlier, later) -> choose(earlier, later, leftOut));
        }
        mAddresses =
                accepted.values().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Endpoint::incarnation, Endpoint::address));
        return List.copyOf(accepted.values());
    }

    private Endpoint choose(Endpoint earlier, Endpoint later, Consumer<Endpoint> leftOut) {
        if (earlier.address().equals(later.address())) {
            return later;
        }
        boolean isLaterKnown = later.address().equals(mAddresses.get(later.incarnation()));
        leftOut.accept(isLaterKnown ? earlier : later);
        return isLaterKnown ? later : earlier;
    }
}
