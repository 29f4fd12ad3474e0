package org.skylarkbend.agreement;

import java.util.Arrays;

/**
 * The state machine after an entry, which stands for all entries up to it.
 *
 * @param index the last entry that it stands for
 * @param term the term of that entry
 * @param membership the members after that entry
 * @param data the state machine's own form
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

    /** How long the data are. */
    public int lengthBytes() {
        return data.length;
    }

    /** A piece of the data. */
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
