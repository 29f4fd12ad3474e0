package org.skylarkbend.orders;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.orders.FencingMessage.FencingRecorded;
import org.skylarkbend.orders.FencingMessage.TakeCommand;

/**
 * Persistent state of orders. It results from the log and is the same on every control VM.
 *
 * @param fencingNumber the number of the newest commander, which never decreases
 * @param commander the VM of the newest commander, or empty before the first one
 * @param endpoints the treatment of old fencing numbers by each endpoint
 */
public record FencingState(
        long fencingNumber, String commander, SortedMap<ObjectName, Fencing> endpoints) {
    /** Copies the endpoints. */
    public FencingState {
        endpoints = Collections.unmodifiableSortedMap(new TreeMap<>(endpoints));
    }

    /** Returns the state before the first commander. */
    public static FencingState empty() {
        return new FencingState(0, "", new TreeMap<>());
    }

    /** Returns the state after a message. */
    public FencingState after(FencingMessage message) {
        if (message instanceof TakeCommand take) {
            long next = Math.max(fencingNumber, take.aboveFencingNumber()) + 1;
            return new FencingState(next, take.commander().value(), endpoints);
        }
        FencingRecorded recorded = (FencingRecorded) message;
        SortedMap<ObjectName, Fencing> changed = new TreeMap<>(endpoints);
        changed.put(recorded.endpoint(), recorded.fencing());
        return new FencingState(fencingNumber, commander, changed);
    }
}
