package org.skylarkbend.agreement;

import java.util.Arrays;

/**
 * The state of the state machine after an entry. It replaces the log up to that entry.
 *
 * @param index the index of the last entry covered
 * @param term the term of that entry
 * @param membership the membership as of that entry
 * @param data the state, as encoded by the state machine
 */
public record Snapshot(long index, long term, Membership membership, byte[] data) {
    /** Copies the data. */
    public Snapshot {
        data = data.clone();
    }

    @Override
    public byte[] data() {
        return data.clone();
    }

    /** Returns the size of the data. */
    public int lengthBytes() {
        return data.length;
    }

    /** Returns the chunk of the data at this offset. */
    public byte[] chunk(int offsetBytes, int maxBytes) {
        return Arrays.copyOfRange(data, offsetBytes, Math.min(data.length, offsetBytes + maxBytes));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Snapshot snapshot
                && snapshot.index == index
                && snapshot.term == term
                && snapshot.membership.equals(membership)
                && Arrays.equals(snapshot.data, data);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(index) * 31 + Arrays.hashCode(data);
    }
}
