package org.skylarkbend.agreement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.skylarkbend.agreement.FaultyDisk.Operation;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs clusters on real files while the disk of one member after another has no room. */
public class DisksWithoutRoomInTurnTest {
    private static final int SEEDS = 5;
    private static final int HANGING_SEEDS = 200;

    /** Five times the maximum election timeout of the simulations. */
    private static final long COMMIT_WITHIN_MILLISECONDS = 1_500;

    /** The time after which a disk counts as hanging in the simulations. */
    private static final long HANGING_MILLISECONDS = 600;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {EnumSet.of(Operation.WRITE)},
            {EnumSet.of(Operation.SYNC_FILE)},
            {EnumSet.of(Operation.SYNC_FOLDER)},
            {EnumSet.of(Operation.REPLACE)},
            {EnumSet.of(Operation.WRITE, Operation.TRUNCATE)},
            {EnumSet.of(Operation.SYNC_FILE, Operation.TRUNCATE)},
            {EnumSet.allOf(Operation.class)}
        };
    }

    /** Guards against members that never write again and leaders that refuse all changes. */
    @Test(dataProvider = "failures")
    public void threeMembersCommitWhicheverOfThemHasNoRoomAndAfterAllHadNone(
            Set<Operation> failing) {
        run(3, failing);
    }

    /** Guards against members that never write again and leaders that refuse all changes. */
    @Test(dataProvider = "failures")
    public void fiveMembersCommitWhicheverOfThemHasNoRoomAndAfterAllHadNone(
            Set<Operation> failing) {
        run(5, failing);
    }

    /** Guards against a group without a majority of disks that does not come back by itself. */
    @Test(dataProvider = "failures")
    public void twoMembersCommitAgainAfterEachHadNoRoom(Set<Operation> failing) {
        run(2, failing);
    }

    /** Guards against a leader that keeps all changes waiting for a disk that does not answer. */
    @Test
    public void membersCommitWhicheverOfTheirDisksHangsAndAfterAllHave() {
        for (int members : List.of(2, 3, 5)) {
            SeededRuns.forEachSeed(
                    1,
                    HANGING_SEEDS,
                    seed ->
                            ClusterSimulation.fixedMembers(seed, members, SimulatedDisk::new)
                                    .runWithHangingDisksInTurn(
                                            HANGING_MILLISECONDS + COMMIT_WITHIN_MILLISECONDS));
        }
    }

    private static void run(int members, Set<Operation> failing) {
        SeededRuns.forEachSeed(
                1,
                SEEDS,
                seed -> {
                    Map<ObjectName, FaultyDisk> disks = new TreeMap<>();
                    ClusterSimulation.fixedMembers(
                                    seed,
                                    members,
                                    (identity, isOfFirstStart) ->
                                            new FileDisk(
                                                    identity,
                                                    isOfFirstStart,
                                                    newFolder(),
                                                    disks.computeIfAbsent(
                                                            identity.vm(), vm -> new FaultyDisk())))
                            .runWithoutRoomInTurn(
                                    vm -> disks.get(vm).fail(failing, 0),
                                    vm -> disks.get(vm).recover(),
                                    COMMIT_WITHIN_MILLISECONDS);
                });
    }

    private static Path newFolder() {
        try {
            return Files.createTempDirectory("disk");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
