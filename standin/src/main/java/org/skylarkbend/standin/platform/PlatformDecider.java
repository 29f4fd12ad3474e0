package org.skylarkbend.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Keeps the platform's list and decides which version of it is visible: the one that was current
 * before the lag.
 */
public final class PlatformDecider {
    /** A list and the time from which it was current. */
    private record Snapshot(long atMilliseconds, PlatformList list) {}

    private final long mLagMilliseconds;
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    /** Creates a platform with an initial list. */
    public PlatformDecider(
            long lagMilliseconds,
            List<ListedVm> vms,
            List<ListedEndpoint> endpoints,
            long nowMilliseconds) {
        mLagMilliseconds = lagMilliseconds;
        mSnapshots.add(new Snapshot(nowMilliseconds, new PlatformList(1, vms, endpoints)));
    }

    /** Replaces the list. The new list becomes visible after the lag. */
    public void replace(List<ListedVm> vms, List<ListedEndpoint> endpoints, long nowMilliseconds) {
        long generation = mSnapshots.getLast().list().generation() + 1;
        mSnapshots.add(new Snapshot(nowMilliseconds, new PlatformList(generation, vms, endpoints)));
    }

    /** Returns the list that readers see at this time. */
    public PlatformList visibleList(long nowMilliseconds) {
        while (mSnapshots.size() > 1) {
            Snapshot first = mSnapshots.removeFirst();
            if (mSnapshots.getFirst().atMilliseconds() > nowMilliseconds - mLagMilliseconds) {
                mSnapshots.addFirst(first);
                break;
            }
        }
        return mSnapshots.getFirst().list();
    }
}
