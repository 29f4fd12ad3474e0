package org.skylarkbend.publishing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;

/** The differences between two sets, ordered by section and then by object name. */
public record SetDifference(List<Change> changes) {
    /** Makes an unmodifiable copy of the list. */
    public SetDifference {
        changes = List.copyOf(changes);
    }

    /** The kind of change of an object. */
    public enum Kind {
        /** The object exists only in the newer set. */
        ADDED,
        /** The object exists only in the older set. */
        REMOVED,
        /** The object exists in both sets with different values. */
        CHANGED
    }

    /** A change of one object. */
    public record Change(Kind kind, String section, ObjectName name) {}

    /** Returns the changes from the older set to the newer one. */
    public static SetDifference between(PublishedSet before, PublishedSet after) {
        List<Change> changes = new ArrayList<>();
        addChanges(changes, "rates", before.rates(), after.rates());
        addChanges(changes, "customers", before.customers(), after.customers());
        addChanges(changes, "keys", before.keys(), after.keys());
        addChanges(changes, "versions", before.versions(), after.versions());
        addChanges(changes, "endpoints", before.endpoints(), after.endpoints());
        addChanges(changes, "routes", before.routes(), after.routes());
        addChanges(changes, "moves", before.moves(), after.moves());
        return new SetDifference(changes);
    }

    /** Returns whether the sets are equal. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    private static <V> void addChanges(
            List<Change> changes,
            String section,
            SortedMap<ObjectName, V> before,
            SortedMap<ObjectName, V> after) {
        TreeSet<ObjectName> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (ObjectName name : names) {
            if (!Objects.equals(before.get(name), after.get(name))) {
                changes.add(new Change(kindOf(name, before, after), section, name));
            }
        }
    }

    private static <V> Kind kindOf(
            ObjectName name, Map<ObjectName, V> before, Map<ObjectName, V> after) {
        if (!before.containsKey(name)) {
            return Kind.ADDED;
        }
        return after.containsKey(name) ? Kind.CHANGED : Kind.REMOVED;
    }
}
