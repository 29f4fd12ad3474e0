package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link AgreementStorage} with torn and damaged files and a full disk. */
public class AgreementStorageTest {
    private static final ObjectName VM = ObjectName.of("vm-1");
    private static final int GENERATION_BYTES = 8;

    private Path mFolder;

    /** A disk that is full after a number of bytes. */
    private static final class LimitedDisk implements FileOperations {
        private long mFreeBytes;

        LimitedDisk(long freeBytes) {
            mFreeBytes = freeBytes;
        }

        @Override
        public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
            int writableBytes = (int) Math.min(mFreeBytes, bytes.remaining());
            boolean full = writableBytes < bytes.remaining();
            FileOperations.direct().write(channel, bytes.slice(bytes.position(), writableBytes));
            mFreeBytes -= writableBytes;
            if (full) {
                throw new IOException("No space left on device");
            }
        }
    }

    @BeforeMethod
    public void makeFolder() throws IOException {
        mFolder = Files.createTempDirectory("storage");
    }

    @Test
    public void aTornTailIsCutAtEveryByte() throws IOException {
        MemberId self = write(persist(1, 3));
        byte[] syncedBefore = Files.readAllBytes(mFolder.resolve("log.synced"));
        int lengthBefore = Files.readAllBytes(log()).length;
        write(persist(4, 4));
        byte[] whole = Files.readAllBytes(log());
        for (int cut = lengthBefore; cut < whole.length; cut++) {
            Files.write(log(), Arrays.copyOf(whole, cut));
            Files.write(mFolder.resolve("log.synced"), syncedBefore);
            assertThat(recovered().entries()).as("cut at " + cut).isEqualTo(entries(1, 3));
            assertThat(recovered().self()).isEqualTo(self);
            write(persist(4, 4));
            assertThat(recovered().entries()).isEqualTo(entries(1, 4));
        }
    }

    @Test
    public void aFlippedByteAnywhereInTheSyncedLogIsRefused() throws IOException {
        write(persist(1, 4));
        byte[] whole = Files.readAllBytes(log());
        for (int flipped = GENERATION_BYTES; flipped < whole.length; flipped++) {
            Files.write(log(), flip(whole, flipped));
            assertRefused("damaged");
        }
    }

    @Test
    public void aFlippedByteBeforeTheLastRecordIsRefusedEvenIfTheSyncedLengthIsUnknown()
            throws IOException {
        write(persist(1, 3));
        int lengthBefore = Files.readAllBytes(log()).length;
        write(persist(4, 4));
        byte[] whole = Files.readAllBytes(log());
        for (int flipped = GENERATION_BYTES; flipped < lengthBefore; flipped++) {
            Files.deleteIfExists(mFolder.resolve("log.synced"));
            Files.write(log(), flip(whole, flipped));
            assertRefused("damaged");
        }
    }

    @Test
    public void aFlippedByteOfTheSnapshotOrTheIdentityIsRefused() throws IOException {
        write(persist(1, 3));
        save(1, FileOperations.direct());
        for (String name : List.of("snapshot", "identity")) {
            byte[] whole = Files.readAllBytes(mFolder.resolve(name));
            for (int flipped = 0; flipped < whole.length; flipped++) {
                Files.write(mFolder.resolve(name), flip(whole, flipped));
                assertRefused("damaged");
            }
            Files.write(mFolder.resolve(name), whole);
        }
        assertThat(recovered().entries()).isEqualTo(entries(3, 3));
    }

    @Test
    public void aFullDiskFailsTheWriteAndKeepsTheExistingEntries() throws IOException {
        write(persist(1, 3));
        int freeBytes = 0;
        boolean failed = true;
        while (failed) {
            try (AgreementStorage storage = open(new LimitedDisk(freeBytes))) {
                failed = !storage.persist(List.of(persist(4, 4))).isSuccess();
                if (failed) {
                    assertThat(storage.persist(List.of(persist(4, 4))).isSuccess()).isFalse();
                }
            }
            assertThat(recovered().entries()).isEqualTo(entries(1, failed ? 3 : 4));
            freeBytes++;
        }
        assertThat(freeBytes).isGreaterThan(LogRecord.HEADER_BYTES);
    }

    @Test
    public void aSnapshotThatRunsOutOfSpaceAtAnyByteLosesNothing() throws IOException {
        write(persist(1, 3));
        int freeBytes = 0;
        while (!save(freeBytes, new LimitedDisk(freeBytes))) {
            DurableState recovered = recovered();
            boolean hasSnapshot = recovered.snapshot().isPresent();
            assertThat(recovered.entries()).isEqualTo(entries(hasSnapshot ? 3 : 1, 3));
            assertThat(recovered.hardState()).isEqualTo(hardState());
            freeBytes++;
        }
        assertThat(recovered().snapshot()).contains(snapshot());
    }

    @Test
    public void anEntryReplacesAllFromItsIndexOn() throws IOException {
        write(persist(1, 3));
        LogEntry other = new LogEntry(2, 9, new EntryContent.NoOperation());
        write(new Persist(2, Optional.empty(), List.of(other)));
        assertThat(recovered().entries()).containsExactly(entries(1, 1).get(0), other);
    }

    @Test
    public void aFolderThatIsInUseOrOfAnotherVmOrWithoutItsLogIsRefused() throws IOException {
        write(persist(1, 1));
        try (AgreementStorage storage = open(FileOperations.direct())) {
            assertThat(storage.recovered().entries()).hasSize(1);
            assertRefused("in use");
        }
        assertThat(
                        AgreementStorage.open(
                                        mFolder,
                                        ObjectName.of("vm-2"),
                                        () -> 7,
                                        FileOperations.direct(),
                                        true)
                                .isSuccess())
                .isFalse();
        Files.delete(log());
        assertRefused("log file is missing");
    }

    private MemberId write(Persist persist) throws IOException {
        try (AgreementStorage storage = open(FileOperations.direct())) {
            assertThat(storage.persist(List.of(persist)).isSuccess()).isTrue();
            return storage.recovered().self();
        }
    }

    private boolean save(long number, FileOperations fileOperations) throws IOException {
        try (AgreementStorage storage = open(fileOperations)) {
            return storage.save(new SaveSnapshot(number, hardState(), snapshot(), entries(2, 3)))
                    .isSuccess();
        }
    }

    private DurableState recovered() throws IOException {
        try (AgreementStorage storage = open(FileOperations.direct())) {
            return storage.recovered();
        }
    }

    private AgreementStorage open(FileOperations fileOperations) {
        return openResult(fileOperations)
                .fold(
                        opened -> opened,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }

    private Result<AgreementStorage> openResult(FileOperations fileOperations) {
        return AgreementStorage.open(mFolder, VM, () -> 42, fileOperations, true);
    }

    private void assertRefused(String reason) {
        openResult(FileOperations.direct())
                .match(
                        opened -> {
                            throw new AssertionError("was not refused");
                        },
                        error -> {
                            assertThat(error.kind()).isEqualTo(ErrorKind.STORAGE_FAILED);
                            assertThat(error.detail()).contains(reason);
                        });
    }

    private Path log() {
        return mFolder.resolve("log");
    }

    private static byte[] flip(byte[] whole, int position) {
        byte[] flipped = whole.clone();
        flipped[position] ^= 0x10;
        return flipped;
    }

    private static HardState hardState() {
        return new HardState(3, Optional.of(new MemberId(VM, 42)));
    }

    private static Snapshot snapshot() {
        return new Snapshot(2, 1, Membership.none(), CommandListMachine.bytes("state"));
    }

    private static Persist persist(long firstIndex, long lastIndex) {
        return new Persist(lastIndex, Optional.of(hardState()), entries(firstIndex, lastIndex));
    }

    private static List<LogEntry> entries(long firstIndex, long lastIndex) {
        return LongStream.rangeClosed(firstIndex, lastIndex)
                .mapToObj(
                        index ->
                                new LogEntry(
                                        index,
                                        1,
                                        new EntryContent.Command(
                                                CommandListMachine.bytes("command " + index))))
                .toList();
    }
}
