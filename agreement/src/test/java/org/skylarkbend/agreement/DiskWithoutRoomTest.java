package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.FaultyDisk.Operation;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link AgreementStorage} on a disk that has no room for a while. */
public class DiskWithoutRoomTest {
    private static final ObjectName VM = ObjectName.of("vm-1");
    private static final HardState HARD_STATE = new HardState(3, Optional.of(new MemberId(VM, 42)));
    private static final Snapshot SNAPSHOT =
            new Snapshot(2, 1, Membership.none(), CommandListMachine.bytes("state"));

    private Path mFolder;
    private FaultyDisk mDisk;
    private List<LogEntry> mAcknowledged;
    private long mTerm;
    private long mNumber;

    @BeforeMethod
    public void reset() throws IOException {
        mFolder = Files.createTempDirectory("storage");
        mDisk = new FaultyDisk();
        mAcknowledged = new ArrayList<>();
        mTerm = 0;
        mNumber = 0;
    }

    /** Returns the combinations of operations that may fail, except a failed cut alone. */
    @DataProvider
    public Object[][] failures() {
        Operation[] all = Operation.values();
        return Stream.iterate(1, mask -> mask < 1 << all.length, mask -> mask + 1)
                .filter(mask -> mask != 1 << Operation.TRUNCATE.ordinal())
                .map(mask -> new Object[] {operations(all, mask)})
                .toArray(Object[][]::new);
    }

    /** Guards against a log file that stays closed after a failure, when the disk has room. */
    @Test(dataProvider = "failures")
    public void aLogIsWrittenAgainOnceThereIsRoomWhicheverOperationFailedFirst(
            Set<Operation> failing) throws IOException {
        int passing = 0;
        int failures = 1;
        while (failures > 0) {
            reset();
            try (AgreementStorage storage = open(mDisk)) {
                failures = failAndRecover(storage, failing, passing);
            }
            assertThat(recovered().snapshot()).contains(SNAPSHOT);
            assertThat(recovered().entries())
                    .as("%s failed after %s", failing, passing)
                    .isEqualTo(mAcknowledged.subList(2, mAcknowledged.size()));
            assertThat(recovered().hardState()).isEqualTo(HARD_STATE);
            passing++;
        }
        assertThat(passing).isGreaterThan(1);
    }

    /** Guards against acknowledged entries that are lost or damaged when a process ends then. */
    @Test(dataProvider = "failures")
    public void aFolderThatIsOpenedAfterAFailureHasAllThatWasAcknowledged(Set<Operation> failing)
            throws IOException {
        int passing = 0;
        int failures = 1;
        while (failures > 0) {
            reset();
            try (AgreementStorage storage = open(mDisk)) {
                failures = fail(storage, failing, passing);
            }
            DurableState recovered = recovered();
            int firstKept = recovered.snapshot().isPresent() ? 2 : 0;
            assertThat(recovered.entries())
                    .as("%s failed after %s", failing, passing)
                    .startsWith(
                            mAcknowledged
                                    .subList(firstKept, mAcknowledged.size())
                                    .toArray(LogEntry[]::new));
            assertThat(recovered.hardState()).isEqualTo(HARD_STATE);
            passing++;
        }
    }

    /** Guards against an unfinished file that takes the room that others need. */
    @Test
    public void aNewFileThatCannotBeFinishedIsRemoved() throws IOException {
        for (Operation failing : EnumSet.of(Operation.WRITE, Operation.SYNC_FILE)) {
            reset();
            try (AgreementStorage storage = open(mDisk)) {
                persist(storage, 3);
                mDisk.fail(Set.of(failing), 0);
                assertThat(save(storage).isSuccess()).isFalse();
                assertNoUnfinishedFile();
                mDisk.fail(Set.of(failing), failing == Operation.WRITE ? 2 : 1);
                assertThat(save(storage).isSuccess()).isFalse();
                assertNoUnfinishedFile();
            }
        }
    }

    /** Guards against an unfinished file of a process that ended, which takes room for ever. */
    @Test
    public void anUnfinishedFileOfAnEarlierProcessIsRemovedWhenTheFolderIsOpened()
            throws IOException {
        open(mDisk).close();
        for (String name : List.of("log.new", "snapshot.new", "identity.new", "check")) {
            Files.write(mFolder.resolve(name), new byte[100]);
        }
        open(mDisk).close();
        assertNoUnfinishedFile();
        assertThat(mFolder.resolve("check")).doesNotExist();
    }

    /** Guards against a leader that keeps leading although it can save no snapshot. */
    @Test(dataProvider = "failures")
    public void aDiskIsTakenForOneThatCanWriteOnlyIfAllThatASnapshotNeedsSucceeds(
            Set<Operation> failing) throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            persist(storage, 3);
            mDisk.fail(failing, 0);
            assertThat(storage.check(1_000).isSuccess()).isFalse();
            assertNoUnfinishedFile();
            assertThat(mFolder.resolve("check")).doesNotExist();
            mDisk.recover();
            assertThat(storage.check(1_000).isSuccess()).isTrue();
            assertThat(mFolder.resolve("check")).doesNotExist();
        }
    }

    /** Guards against members that are lost when they start while their disk has no room. */
    @Test
    public void aFolderIsOpenedWhileItsDiskHasNoRoom() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            persist(storage, 3);
        }
        mDisk.fail(EnumSet.of(Operation.WRITE), 0);
        try (AgreementStorage storage = open(mDisk)) {
            assertThat(storage.recovered().entries()).isEqualTo(mAcknowledged);
            assertThat(persist(storage, 1).isSuccess()).isFalse();
            mDisk.recover();
            assertThat(persist(storage, 1).isSuccess()).isTrue();
        }
        assertThat(recovered().entries()).isEqualTo(mAcknowledged);
    }

    /** Guards against a first start without room that leaves a folder no start accepts. */
    @Test
    public void aFirstStartWithoutRoomFailsAtAnyOperationAndCanBeRepeated() throws IOException {
        boolean isOpened = false;
        for (int passing = 0; !isOpened; passing++) {
            reset();
            mDisk.fail(EnumSet.allOf(Operation.class), passing);
            Result<AgreementStorage> opened =
                    AgreementStorage.open(mFolder, VM, () -> 42, mDisk, true);
            isOpened = opened.isSuccess();
            opened.match(DiskWithoutRoomTest::close, error -> {});
            mDisk.recover();
            try (AgreementStorage storage = open(mDisk)) {
                assertThat(persist(storage, 1).isSuccess()).isTrue();
            }
            assertThat(recovered().entries()).isEqualTo(mAcknowledged);
        }
    }

    /** Guards against proposals that are called refused and come back after a restart. */
    @Test
    public void aFailedPersistIsCalledRefusedOnlyOnceItsBytesAreCut() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            persist(storage, 3);
            mDisk.fail(Set.of(Operation.WRITE), 0);
            assertThat(kind(persist(storage, 1))).isEqualTo(ErrorKind.STORAGE_FAILED);
            mDisk.fail(Set.of(Operation.SYNC_FILE, Operation.TRUNCATE), 0);
            assertThat(kind(persist(storage, 1))).isEqualTo(ErrorKind.COMMIT_UNKNOWN);
            mDisk.fail(Set.of(Operation.WRITE), 0);
            assertThat(kind(persist(storage, 1))).isEqualTo(ErrorKind.STORAGE_FAILED);
        }
    }

    /** Guards against new entries behind acknowledged ones that the failure has damaged. */
    @Test
    public void aLogWhoseAcknowledgedPartIsDamagedIsNotWrittenAgain() throws IOException {
        try (AgreementStorage storage = open(mDisk)) {
            persist(storage, 3);
            mDisk.fail(Set.of(Operation.SYNC_FILE, Operation.TRUNCATE), 0);
            persist(storage, 1);
            mDisk.recover();
            byte[] content = Files.readAllBytes(mFolder.resolve("log"));
            content[Long.BYTES + LogRecord.HEADER_BYTES] ^= 1;
            Files.write(mFolder.resolve("log"), content);
            assertThat(detail(persist(storage, 1))).contains("is damaged at byte 8");
        }
    }

    private int failAndRecover(AgreementStorage storage, Set<Operation> failing, int passing) {
        int failures = fail(storage, failing, passing);
        mDisk.recover();
        assertThat(persist(storage, 1).isSuccess())
                .as("persist with room after %s failed after %s", failing, passing)
                .isTrue();
        assertThat(save(storage).isSuccess()).isTrue();
        assertThat(persist(storage, 2).isSuccess()).isTrue();
        return failures;
    }

    /** Writes in several ways to a disk that runs out of room, and returns how much failed. */
    private int fail(AgreementStorage storage, Set<Operation> failing, int passing) {
        assertThat(persist(storage, 3).isSuccess()).isTrue();
        mDisk.fail(failing, passing);
        persist(storage, 2);
        save(storage);
        persist(storage, 1);
        save(storage);
        persist(storage, 1);
        return mDisk.failures();
    }

    /** Writes further entries, of another term than those of any failed attempt before. */
    private Result<Long> persist(AgreementStorage storage, int count) {
        mTerm++;
        mNumber++;
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            byte[] command = CommandListMachine.bytes("command " + mTerm + "." + i);
            entries.add(
                    new LogEntry(
                            mAcknowledged.size() + i, mTerm, new EntryContent.Command(command)));
        }
        Result<Long> result =
                storage.persist(List.of(new Persist(mNumber, Optional.of(HARD_STATE), entries)));
        result.match(number -> mAcknowledged.addAll(entries), error -> {});
        return result;
    }

    private Result<Long> save(AgreementStorage storage) {
        mNumber++;
        List<LogEntry> remaining = mAcknowledged.subList(2, mAcknowledged.size());
        return storage.save(new SaveSnapshot(mNumber, HARD_STATE, SNAPSHOT, remaining));
    }

    private static ErrorKind kind(Result<Long> result) {
        return result.fold(
                number -> {
                    throw new AssertionError("did not fail");
                },
                SkylarkError::kind);
    }

    private static String detail(Result<Long> result) {
        return result.fold(String::valueOf, SkylarkError::detail);
    }

    private static void close(AgreementStorage storage) {
        try {
            storage.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private DurableState recovered() throws IOException {
        try (AgreementStorage storage = open(FileOperations.direct())) {
            return storage.recovered();
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

    private void assertNoUnfinishedFile() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            assertThat(files.map(Path::toString)).noneMatch(name -> name.endsWith(".new"));
        }
    }

    private static Set<Operation> operations(Operation[] all, int mask) {
        Set<Operation> operations = EnumSet.noneOf(Operation.class);
        for (Operation operation : all) {
            if ((mask & 1 << operation.ordinal()) != 0) {
                operations.add(operation);
            }
        }
        return operations;
    }
}
