package org.skylarkbend.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.VmEffect.VmRemoved;
import org.skylarkbend.membership.VmEffect.VmRestarted;
import org.skylarkbend.membership.VmMessage.HeartbeatReceived;
import org.skylarkbend.membership.VmMessage.VmListRead;

/**
 * Decides which VMs are running, which were removed, and which peers a router asks for a snapshot.
 *
 * <p>The platform's list is delayed. A VM that is not listed yet is kept, and one that is no longer
 * listed is removed only if its process has been silent as well. A higher incarnation proves that
 * the former one has ended.
 */
public final class VmMembershipDecider {
    /** State of one VM. */
    private record VmRecord(
            Optional<ListedVm> listed,
            OptionalLong incarnation,
            long lastHeartbeatMilliseconds,
            long unlistedAtMilliseconds,
            boolean everListed) {
        VmRecord listedAs(ListedVm vm) {
            return new VmRecord(
                    Optional.of(vm), incarnation, lastHeartbeatMilliseconds, Long.MAX_VALUE, true);
        }

        VmRecord unlistedAt(long nowMilliseconds) {
            long sinceMilliseconds = Math.min(unlistedAtMilliseconds, nowMilliseconds);
            return new VmRecord(
                    Optional.empty(),
                    incarnation,
                    lastHeartbeatMilliseconds,
                    sinceMilliseconds,
                    everListed);
        }

        VmRecord heartbeatReceived(long newIncarnation, long nowMilliseconds) {
            return new VmRecord(
                    listed,
                    OptionalLong.of(newIncarnation),
                    nowMilliseconds,
                    unlistedAtMilliseconds,
                    everListed);
        }

        /**
         * Returns whether the VM counts as removed. A VM that was never listed may be too new for
         * the list, and is kept.
         */
        boolean isRemovedAt(long nowMilliseconds, VmTimeouts timeouts) {
            long lastSignMilliseconds = Math.max(lastHeartbeatMilliseconds, unlistedAtMilliseconds);
            return everListed
                    && listed.isEmpty()
                    && nowMilliseconds - lastSignMilliseconds
                            >= timeouts.removedAfterMilliseconds();
        }
    }

    private final VmTimeouts mTimeouts;
    private final Map<ObjectName, VmRecord> mVms = new HashMap<>();
    private long mListGeneration = Long.MIN_VALUE;

    /** Creates a decider without VMs. */
    public VmMembershipDecider(VmTimeouts timeouts) {
        mTimeouts = timeouts;
    }

    /** Processes evidence and returns the resulting changes. */
    public List<VmEffect> decide(VmMessage message, long nowMilliseconds) {
        List<VmEffect> effects = new ArrayList<>();
        if (message instanceof VmListRead list) {
            applyList(list, nowMilliseconds);
        } else if (message instanceof HeartbeatReceived heartbeat) {
            applyHeartbeat(heartbeat, nowMilliseconds, effects);
        }
        removeUnlistedAndSilent(nowMilliseconds, effects);
        return List.copyOf(effects);
    }

    /** Returns the condition of a VM. */
    public VmCondition conditionOf(ObjectName vm, long nowMilliseconds) {
        VmRecord known = mVms.get(vm);
        if (known == null) {
            return VmCondition.REMOVED;
        }
        if (known.listed().map(ListedVm::leaving).orElse(false)) {
            return VmCondition.LEAVING;
        }
        long silentMilliseconds = nowMilliseconds - known.lastHeartbeatMilliseconds();
        boolean silent = silentMilliseconds >= mTimeouts.suspectAfterMilliseconds();
        return silent && known.incarnation().isPresent() ? VmCondition.SUSPECT : VmCondition.LIVE;
    }

    /**
     * Returns the peers that a router asks for a snapshot, in order of preference. Peers in its own
     * data centre come first. Within each group the order is a hash specific to the router, so that
     * many routers restarting concurrently spread their requests over all peers.
     *
     * @param self the requesting VM
     * @param dataCentre the data centre of the requesting VM
     * @param maxPeers the maximum number of peers
     * @param nowMilliseconds the current time
     */
    public List<ListedVm> peersOf(
            ObjectName self, ObjectName dataCentre, int maxPeers, long nowMilliseconds) {
        Comparator<ListedVm> sameDataCentreFirst =
                Comparator.comparing(vm -> !vm.dataCentre().equals(dataCentre));
        return mVms.values().stream()
                .flatMap(known -> known.listed().stream())
                .filter(vm -> !vm.vm().equals(self))
                .filter(vm -> conditionOf(vm.vm(), nowMilliseconds) == VmCondition.LIVE)
                .sorted(sameDataCentreFirst.thenComparingLong(vm -> peerHash(self, vm.vm())))
                .limit(maxPeers)
                .toList();
    }

    private static long peerHash(ObjectName self, ObjectName peer) {
        return Hashing.xxh3_64().hashCharsToLong(self.value() + "/" + peer.value());
    }

    private void applyList(VmListRead list, long nowMilliseconds) {
        if (list.generation() < mListGeneration) {
            return;
        }
        mListGeneration = list.generation();
        Set<ObjectName> names =
                list.vms().stream().map(ListedVm::vm).collect(Collectors.toUnmodifiableSet());
        mVms.replaceAll(
                (vm, known) -> names.contains(vm) ? known : known.unlistedAt(nowMilliseconds));
        for (ListedVm vm : list.vms()) {
            VmRecord known = mVms.getOrDefault(vm.vm(), firstSeen(nowMilliseconds));
            mVms.put(vm.vm(), known.listedAs(vm));
        }
    }

    private void applyHeartbeat(
            HeartbeatReceived heartbeat, long nowMilliseconds, List<VmEffect> effects) {
        VmRecord known = mVms.getOrDefault(heartbeat.vm(), firstSeen(nowMilliseconds));
        long knownIncarnation = known.incarnation().orElse(Long.MIN_VALUE);
        if (heartbeat.incarnation() < knownIncarnation) {
            return;
        }
        if (known.incarnation().isPresent() && heartbeat.incarnation() > knownIncarnation) {
            effects.add(new VmRestarted(heartbeat.vm(), heartbeat.incarnation()));
        }
        mVms.put(heartbeat.vm(), known.heartbeatReceived(heartbeat.incarnation(), nowMilliseconds));
    }

    private void removeUnlistedAndSilent(long nowMilliseconds, List<VmEffect> effects) {
        List<ObjectName> removed =
                mVms.entrySet().stream()
                        .filter(entry -> entry.getValue().isRemovedAt(nowMilliseconds, mTimeouts))
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        for (ObjectName vm : removed) {
            mVms.remove(vm);
            effects.add(new VmRemoved(vm));
        }
    }

    private static VmRecord firstSeen(long nowMilliseconds) {
        return new VmRecord(
                Optional.empty(), OptionalLong.empty(), nowMilliseconds, Long.MAX_VALUE, false);
    }
}
