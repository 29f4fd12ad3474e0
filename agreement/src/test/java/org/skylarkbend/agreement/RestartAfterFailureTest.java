package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link AgreementStorage} that is opened again after its disk failed. */
public class RestartAfterFailureTest {
    private static final ObjectName VM = ObjectName.of("vm-1");
    private static final HardState HARD_STATE = new HardState(3, Optional.of(new MemberId(VM, 42)));

    private Path mFolder;
    private PowerLossDisk mDisk;
    private long mNumber;

    @BeforeMethod
    public void reset() throws IOException {
        mFolder = Files.createTempDirectory("storage");
        mDisk = new PowerLossDisk(mFolder.resolve("log"));
        mNumber = 0;
    }

    /** Guards against entries that count as synced although the failed sync was not repeated. */
    @Test
    public void whatAStartFindsBehindAFailedSyncIsOnDiskBeforeItIsUsed() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            assertThat(persist(storage, 1, 3)).isTrue();
            mDisk.failLog();
            assertThat(persist(storage, 4, 5)).isFalse();
        }
        mDisk.recover();
        List<LogEntry> found = recovered();
        mDisk.losePower();
        assertThat(found).startsWith(entries(1, 3).toArray(LogEntry[]::new));
        assertThat(recovered()).isEqualTo(found);
    }

    /** Guards against acknowledged entries that are gone at some step of a repair. */
    @Test
    public void noLossOfPowerDuringARepairOrASnapshotTakesAnAcknowledgedEntry() throws IOException {
        boolean isComplete = false;
        for (int steps = 0; !isComplete; steps++) {
            reset();
            long acknowledged = 3;
            try (AgreementStorage storage = open(mDisk)) {
                assertThat(persist(storage, 1, 3)).isTrue();
                mDisk.failLog();
                assertThat(persist(storage, 4, 5)).isFalse();
                mDisk.recover();
                mDisk.endAfter(steps);
                acknowledged = persist(storage, 4, 4) ? 4 : acknowledged;
                save(storage, 2, acknowledged);
                isComplete = persist(storage, acknowledged + 1, acknowledged + 1);
                acknowledged += isComplete ? 1 : 0;
            }
            mDisk.losePower();
            try (AgreementStorage storage = open(mDisk)) {
                DurableState found = storage.recovered();
                long firstIndex = found.snapshot().map(Snapshot::index).orElse(0L) + 1;
                assertThat(found.entries())
                        .as("power lost after " + steps + " steps")
                        .startsWith(entries(firstIndex, acknowledged).toArray(LogEntry[]::new));
            }
        }
    }

    /** Guards against acknowledged entries in a file whose name is not on disk. */
    @Test
    public void aNewLogThatAStartFindsIsOnDiskBeforeItIsWritten() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            assertThat(persist(storage, 1, 3)).isTrue();
            mDisk.failFolderAfter(1);
            assertThat(save(storage, 2, 3)).isFalse();
        }
        mDisk.recover();
        try (AgreementStorage storage = open(mDisk)) {
            assertThat(persist(storage, 4, 4)).isTrue();
        }
        mDisk.losePower();
        assertThat(recovered()).isEqualTo(entries(3, 4));
    }

    /** Guards against a replaced log that is cut at the length of another one. */
    @Test
    public void aNewLogIsNotMistakenForAnEarlierOneThatCouldNotBeOpened() throws IOException {
        FaultyDisk disk = new FaultyDisk();
        try (AgreementStorage storage = open(disk)) {
            assertThat(persist(storage, 1, 5)).isTrue();
            FaultyDisk.Operation folder = FaultyDisk.Operation.SYNC_FOLDER;
            disk.fail(Set.of(folder), 1);
            disk.onFailure(() -> Files.move(log(), mFolder.resolve("away")));
            assertThat(save(storage, 2, 5)).isFalse();
            disk.onFailure(() -> {});
            Files.move(mFolder.resolve("away"), log());
            disk.fail(Set.of(FaultyDisk.Operation.REPLACE), 1);
            assertThat(save(storage, 3, 5)).isFalse();
        }
        disk.recover();
        assertThat(recovered()).isEqualTo(entries(4, 5));
    }

    /** Guards against a stopped member that writes to the files of the one after it. */
    @Test
    public void aClosedFolderIsNotWrittenByItsFormerOwner() throws IOException {
        AgreementStorage former = open(FileOperations.direct());
        assertThat(persist(former, 1, 3)).isTrue();
        former.close();
        try (AgreementStorage storage = open(FileOperations.direct())) {
            assertThat(persist(storage, 4, 6)).isTrue();
            assertThat(persist(former, 4, 4)).isFalse();
            assertThat(persist(former, 4, 4)).isFalse();
            assertThat(save(former, 2, 3)).isFalse();
            assertThat(former.check(1).isSuccess()).isFalse();
            assertThat(persist(storage, 7, 7)).isTrue();
        }
        assertThat(recovered()).isEqualTo(entries(1, 7));
    }

    private boolean persist(AgreementStorage storage, long firstIndex, long lastIndex) {
        mNumber++;
        Persist persist =
                new Persist(mNumber, Optional.of(HARD_STATE), entries(firstIndex, lastIndex));
        return storage.persist(List.of(persist)).isSuccess();
    }

    private boolean save(AgreementStorage storage, long index, long lastIndex) {
        mNumber++;
        Snapshot snapshot =
                new Snapshot(index, 1, Membership.none(), CommandListMachine.bytes("state"));
        List<LogEntry> remaining = entries(index + 1, lastIndex);
        return storage.save(new SaveSnapshot(mNumber, HARD_STATE, snapshot, remaining)).isSuccess();
    }

    private List<LogEntry> recovered() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            return storage.recovered().entries();
        }
    }

    private AgreementStorage open(FileOperations operations) {
        return AgreementStorage.open(mFolder, VM, () -> 42, operations, true)
                .fold(
                        opened -> opened,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }

    private Path log() {
        return mFolder.resolve("log");
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
