package org.skylarkbend.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.VmEffect.VmRemoved;
import org.skylarkbend.membership.VmEffect.VmRestarted;
import org.skylarkbend.membership.VmMessage.HeartbeatReceived;
import org.skylarkbend.membership.VmMessage.TimePassed;
import org.skylarkbend.membership.VmMessage.VmListRead;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests which VMs are running and which are removed when the list is delayed. */
public class VmMembershipDeciderTest {
    private static final int VMS = 6;
    private static final int STEPS = 400;
    private static final int SCHEDULES = 2_000;
    private static final VmTimeouts TIMEOUTS = VmTimeouts.defaults();

    @Test
    public void onlyVmsThatAreUnlistedAndSilentAreRemoved() {
        SeededRuns.forEachSeed(1, SCHEDULES, VmMembershipDeciderTest::runSchedule);
    }

    @Test
    public void aHigherIncarnationEndsTheFormerAndALowerOneSaysNothing() {
        VmMembershipDecider decider = new VmMembershipDecider(TIMEOUTS);
        decider.decide(new HeartbeatReceived(vm(1), 5), 0);
        assertThat(decider.decide(new HeartbeatReceived(vm(1), 6), 10))
                .containsExactly(new VmRestarted(vm(1), 6));
        decider.decide(new HeartbeatReceived(vm(1), 5), TIMEOUTS.suspectAfterMilliseconds() + 9);
        assertThat(decider.conditionOf(vm(1), TIMEOUTS.suspectAfterMilliseconds() + 10))
                .isEqualTo(VmCondition.SUSPECT);
    }

    @Test
    public void aHerdOfFourHundredSpreadsOverItsPeersAndStaysInItsDataCentre() {
        VmMembershipDecider decider = new VmMembershipDecider(TIMEOUTS);
        List<ListedVm> fleet = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            fleet.add(listed(i));
        }
        decider.decide(new VmListRead(1, fleet), 0);
        Map<ObjectName, Integer> asked = new HashMap<>();
        for (ListedVm vm : fleet) {
            ListedVm peer = decider.peersOf(vm.vm(), vm.dataCentre(), 3, 0).get(0);
            assertThat(peer.dataCentre()).isEqualTo(vm.dataCentre());
            assertThat(peer.vm()).isNotEqualTo(vm.vm());
            asked.merge(peer.vm(), 1, Integer::sum);
        }
        assertThat(asked.values()).allMatch(count -> count <= 8);
    }

    @Test
    public void aLeavingOrSuspectVmIsNoPeer() {
        VmMembershipDecider decider = new VmMembershipDecider(TIMEOUTS);
        ListedVm leaving = new ListedVm(vm(1), "127.0.0.1", 1, centre(1), true);
        decider.decide(new VmListRead(1, List.of(leaving, listed(2), listed(3))), 0);
        decider.decide(new HeartbeatReceived(vm(2), 1), 0);
        long nowMilliseconds = TIMEOUTS.suspectAfterMilliseconds();
        decider.decide(new HeartbeatReceived(vm(3), 1), nowMilliseconds);
        assertThat(decider.peersOf(vm(9), centre(1), 9, nowMilliseconds))
                .containsExactly(listed(3));
    }

    private static void runSchedule(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        VmMembershipDecider decider = new VmMembershipDecider(TIMEOUTS);
        long[] lastSignMilliseconds = new long[VMS];
        boolean[] everListed = new boolean[VMS];
        boolean[] listed = new boolean[VMS];
        long nowMilliseconds = 0;
        for (int generation = 1; generation <= STEPS; generation++) {
            nowMilliseconds += random.nextLong(4_000);
            int i = random.nextInt(VMS);
            VmMessage message = new TimePassed();
            if (random.nextInt(3) == 0) {
                message = new HeartbeatReceived(vm(i), 1);
                lastSignMilliseconds[i] = nowMilliseconds;
            } else if (random.nextInt(2) == 0) {
                message = changedList(random, generation, listed, everListed);
                signs(listed, lastSignMilliseconds, nowMilliseconds);
            }
            for (VmEffect effect : decider.decide(message, nowMilliseconds)) {
                int removed = Integer.parseInt(((VmRemoved) effect).vm().value());
                long silentMilliseconds = nowMilliseconds - lastSignMilliseconds[removed];
                assertThat(listed[removed]).isFalse();
                assertThat(silentMilliseconds)
                        .isGreaterThanOrEqualTo(TIMEOUTS.removedAfterMilliseconds());
                everListed[removed] = false;
            }
        }
        decider.decide(new TimePassed(), nowMilliseconds + TIMEOUTS.removedAfterMilliseconds());
        for (int i = 0; i < VMS; i++) {
            boolean isRemoved = decider.conditionOf(vm(i), nowMilliseconds) == VmCondition.REMOVED;
            assertThat(isRemoved || listed[i] || !everListed[i]).isTrue();
        }
    }

    private static void signs(boolean[] listed, long[] lastSignMilliseconds, long nowMilliseconds) {
        for (int i = 0; i < VMS; i++) {
            lastSignMilliseconds[i] = listed[i] ? nowMilliseconds : lastSignMilliseconds[i];
        }
    }

    private static VmListRead changedList(
            UniformRandomProvider random, long generation, boolean[] listed, boolean[] everListed) {
        List<ListedVm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            listed[i] = random.nextInt(4) == 0 ? !listed[i] : listed[i];
            if (listed[i]) {
                everListed[i] = true;
                vms.add(listed(i));
            }
        }
        return new VmListRead(generation, vms);
    }

    private static ListedVm listed(int number) {
        return new ListedVm(vm(number), "127.0.0.1", 1, centre(number), false);
    }

    private static ObjectName vm(int number) {
        return ObjectName.of(Integer.toString(number));
    }

    private static ObjectName centre(int number) {
        return ObjectName.of("centre-" + number % 5);
    }
}
