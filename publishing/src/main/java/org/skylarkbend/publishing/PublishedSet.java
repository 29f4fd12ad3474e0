package org.skylarkbend.publishing;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;

/** A validated set of named objects: every reference in it resolves to an object of the set. */
public record PublishedSet(
        SortedMap<ObjectName, Rate> rates,
        SortedMap<ObjectName, Customer> customers,
        SortedMap<ObjectName, CallerKey> keys,
        SortedMap<ObjectName, EndpointVersion> versions,
        SortedMap<ObjectName, Endpoint> endpoints,
        SortedMap<ObjectName, Route> routes,
        SortedMap<ObjectName, TrafficMove> moves) {
    /** Makes unmodifiable copies of all maps. */
    public PublishedSet {
        rates = copyOf(rates);
        customers = copyOf(customers);
        keys = copyOf(keys);
        versions = copyOf(versions);
        endpoints = copyOf(endpoints);
        routes = copyOf(routes);
        moves = copyOf(moves);
    }

    /** Returns a set without objects, the state before the first publish. */
    public static PublishedSet empty() {
        SortedMap<ObjectName, Rate> none = new TreeMap<>();
        return new PublishedSet(
                none,
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>());
    }

    private static <V> SortedMap<ObjectName, V> copyOf(Map<ObjectName, V> map) {
        return java.util.Collections.unmodifiableSortedMap(new TreeMap<>(map));
    }
}
