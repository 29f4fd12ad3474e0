package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/**
 * Runs clusters under random faults: messages are delayed, dropped, duplicated, reordered and
 * blocked in one or both directions, members crash and pause, disks fill up and are lost.
 */
public class AgreementSimulationTest {
    private static final long FIRST_SEED = 1;
    private static final int FIXED_MEMBER_SIMULATIONS = 10_000;
    private static final int FIRST_START_SIMULATIONS = 3_000;
    private static final int OPEN_MEMBERSHIP_SIMULATIONS = 3_000;

    @Test
    public void noSimulationLosesOrChangesACommittedEntryOrServesAStaleRead() {
        run("fixed", FIXED_MEMBER_SIMULATIONS, ClusterSimulation::fixedMembers);
    }

    @Test
    public void openMembershipThatRemovesUnresponsiveMembersIsAsSafe() {
        run("open", OPEN_MEMBERSHIP_SIMULATIONS, ClusterSimulation::joiningMembers);
    }

    /** Guards against a first start that a killed process keeps from ever ending. */
    @Test
    public void aFirstStartDuringWhichProcessesAreKilledMakesOneLogAndServesIt() {
        SeededRuns.forEachSeed(
                FIRST_SEED,
                FIRST_START_SIMULATIONS,
                seed -> ClusterSimulation.joiningMembers(seed).runFirstStart());
    }

    private static void run(
            String kind, int simulations, LongFunction<ClusterSimulation> simulation) {
        AtomicLong acknowledged = new AtomicLong();
        AtomicLong reads = new AtomicLong();
        SeededRuns.forEachSeed(
                FIRST_SEED,
                simulations,
                seed -> {
                    SafetyChecks checks = simulation.apply(seed).run();
                    acknowledged.addAndGet(checks.acknowledgedIndex());
                    reads.addAndGet(checks.confirmedReads());
                });
        System.out.println(
                kind
                        + " cluster simulations: acknowledged index sum "
                        + acknowledged
                        + ", confirmed reads "
                        + reads);
        assertThat(acknowledged.get()).isGreaterThan(10L * simulations);
        assertThat(reads.get()).isGreaterThan(10L * simulations);
    }
}
