package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link AgreementStorage} whose disk loses names with the power. */
public class NamesAfterPowerLossTest {
    private static final ObjectName VM = ObjectName.of("vm-1");
    private static final MemberId SELF = new MemberId(VM, 42);
    private static final HardState HARD_STATE = new HardState(3, Optional.of(SELF));
    private static final BooleanSupplier ALL_LOST = () -> false;
    private static final int SEEDS = 20;
    private static final long LAST_INDEX = 6;

    private Path mAbove;
    private Path mFolder;
    private UnsyncedNamesDisk mDisk;

    @BeforeMethod
    public void reset() throws IOException {
        Path base = Files.createTempDirectory("names").toRealPath();
        Path root = Files.createDirectory(base.resolve("disk"));
        mAbove = root.resolve("above");
        mFolder = mAbove.resolve("data");
        mDisk = new UnsyncedNamesDisk(root, Files.createDirectory(base.resolve("kept")));
    }

    /** Guards against a member that acknowledges an entry in a folder that is not on disk. */
    @Test
    public void aNewMemberKeepsItsIdentityAndItsEntriesWhenThePowerIsLost() throws IOException {
        for (boolean isFirstStart : List.of(true, false)) {
            reset();
            try (AgreementStorage storage = opened(42, isFirstStart)) {
                assertThat(persist(storage, 1, 3)).isTrue();
            }
            mDisk.losePower(ALL_LOST);
            assertThat(opened(43, false).recovered())
                    .isEqualTo(
                            new DurableState(
                                    SELF,
                                    isFirstStart,
                                    HARD_STATE,
                                    Optional.empty(),
                                    entries(1, 3)));
        }
    }

    /** Guards against a folder that a killed process has made and the next one takes for synced. */
    @Test
    public void aFolderThatAKilledProcessHasMadeIsOnDiskBeforeItIsUsed() throws IOException {
        Files.createDirectories(mFolder);
        try (AgreementStorage storage = opened(42, false)) {
            assertThat(persist(storage, 1, 3)).isTrue();
        }
        mDisk.losePower(ALL_LOST);
        assertThat(opened(43, false).recovered().entries()).isEqualTo(entries(1, 3));
    }

    /** Guards against a folder whose sync has failed and that the next start takes for synced. */
    @Test
    public void aFolderWhoseNameCannotBeSyncedIsNotUsedAndIsMadeAgainByTheNextStart()
            throws IOException {
        for (Path failing : List.of(mAbove, mAbove.getParent())) {
            mDisk.failSyncOf(failing);
            assertThat(open(42, true).isSuccess()).isFalse();
            assertThat(open(42, true).isSuccess()).isFalse();
            assertThat(mAbove).doesNotExist();
            mDisk.recover();
        }
        opened(42, true).close();
        mDisk.losePower(ALL_LOST);
        assertThat(opened(43, false).recovered().self()).isEqualTo(SELF);
    }

    /** Guards against refusing a given folder because the one above it belongs to the system. */
    @Test
    public void aGivenFolderIsUsedAlsoWhereTheOneAboveItCannotBeSynced() throws IOException {
        Files.createDirectories(mFolder);
        mDisk.failSyncOf(mAbove);
        try (AgreementStorage storage = opened(42, true)) {
            assertThat(persist(storage, 1, 1)).isTrue();
        }
    }

    /** Guards against any name that is relied on before its folder is synced. */
    @Test
    public void noNameThatIsKeptOrLostOnItsOwnTakesWhatWasAcknowledged() {
        SeededRuns.forEachSeed(
                1,
                SEEDS,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    boolean isComplete = false;
                    for (int steps = 0; !isComplete; steps++) {
                        isComplete = losePowerAfter(steps, random::nextBoolean);
                    }
                });
    }

    /** Ends a member after these steps, loses the power, and returns whether it did all. */
    private boolean losePowerAfter(int steps, BooleanSupplier keeps) {
        try {
            reset();
            mDisk.endAfter(steps);
            Result<AgreementStorage> opened = open(42, true);
            long acknowledged = opened.isSuccess() ? useAndClose(orThrow(opened)) : -1;
            mDisk.losePower(keeps);
            try (AgreementStorage storage = opened(43, false)) {
                DurableState found = storage.recovered();
                long firstIndex = found.snapshot().map(Snapshot::index).orElse(0L) + 1;
                if (acknowledged >= 0) {
                    assertThat(found.self()).as("after " + steps + " steps").isEqualTo(SELF);
                }
                assertThat(found.entries())
                        .as("power lost after " + steps + " steps")
                        .startsWith(entries(firstIndex, acknowledged).toArray(LogEntry[]::new));
            }
            return acknowledged == LAST_INDEX;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes entries and snapshots until one fails, and returns the last acknowledged index. */
    private static long useAndClose(AgreementStorage storage) throws IOException {
        try (storage) {
            long acknowledged = 0;
            while (acknowledged < LAST_INDEX && persist(storage, acknowledged + 1)) {
                acknowledged++;
                if (acknowledged % 2 == 0 && !save(storage, acknowledged - 1, acknowledged)) {
                    return acknowledged;
                }
            }
            return acknowledged;
        }
    }

    private static boolean persist(AgreementStorage storage, long index) {
        return persist(storage, index, index);
    }

    private static boolean persist(AgreementStorage storage, long firstIndex, long lastIndex) {
        Persist persist =
                new Persist(lastIndex, Optional.of(HARD_STATE), entries(firstIndex, lastIndex));
        return storage.persist(List.of(persist)).isSuccess();
    }

    private static boolean save(AgreementStorage storage, long index, long lastIndex) {
        Snapshot snapshot =
                new Snapshot(index, 1, Membership.none(), CommandListMachine.bytes("state"));
        List<LogEntry> remaining = entries(index + 1, lastIndex);
        SaveSnapshot save = new SaveSnapshot(lastIndex, HARD_STATE, snapshot, remaining);
        return storage.save(save).isSuccess();
    }

    private AgreementStorage opened(long number, boolean isFirstStart) {
        return orThrow(open(number, isFirstStart));
    }

    private Result<AgreementStorage> open(long number, boolean isFirstStart) {
        return AgreementStorage.open(mFolder, VM, () -> number, mDisk, isFirstStart);
    }

    private static AgreementStorage orThrow(Result<AgreementStorage> opened) {
        return opened.fold(
                storage -> storage,
                error -> {
                    throw new AssertionError(error.detail());
                });
    }

    private static List<LogEntry> entries(long firstIndex, long lastIndex) {
        return LongStream.rangeClosed(firstIndex, lastIndex)
                .mapToObj(
                        index -> {
                            byte[] command = CommandListMachine.bytes("command " + index);
                            return new LogEntry(index, 1, new EntryContent.Command(command));
                        })
                .toList();
    }
}
