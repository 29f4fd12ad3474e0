package org.skylarkbend.agreement;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * The files of one member: its identity, its log and its newest snapshot.
 *
 * <p>Calls block and must not overlap; the owning task makes them outside its event loop. Writes
 * fail once the folder is closed, because it may have another owner.
 */
public final class AgreementStorage implements Closeable {
    private static final String IDENTITY_FILE_NAME = "identity";
    private static final int IDENTITY = 4;
    private static final int IDENTITY_OF_FIRST_START = 5;

    private final DataFolder mFolder;
    private final LogFile mLogFile;
    private final SnapshotFile mSnapshotFile;
    private final boolean mIsFirstStart;
    private DurableState mRecovered;

    /** The identity of a member as stored in its folder. */
    private record Identity(MemberId self, boolean isOfFirstStart) {}

    private AgreementStorage(DataFolder folder, boolean isFirstStart) {
        mFolder = folder;
        mIsFirstStart = isFirstStart;
        mLogFile = new LogFile(folder);
        mSnapshotFile = new SnapshotFile(folder);
    }

    /**
     * Opens a data folder and recovers its state. Creates a new identity if the folder is empty.
     *
     * <p>Fails with {@code STORAGE_FAILED} if the folder is in use, belongs to another VM, is
     * incomplete or damaged, or cannot be read.
     *
     * @param path the folder
     * @param vm the VM that the folder belongs to
     * @param randomNumber generates the number of a new identity
     * @param fileOperations the operations that change files
     * @param isFirstStart true if the system has never run, so that an empty folder replaces none
     */
    public static Result<AgreementStorage> open(
            Path path,
            ObjectName vm,
            LongSupplier randomNumber,
            FileOperations fileOperations,
            boolean isFirstStart) {
        try {
            AgreementStorage storage =
                    new AgreementStorage(DataFolder.open(path, fileOperations), isFirstStart);
            Result<DurableState> recovered = storage.recoverOrClose(vm, randomNumber);
            return recovered.map(storage::withRecovered);
        } catch (IOException e) {
            return Result.failure(
                    ErrorKind.STORAGE_FAILED, path + ": cannot open the data folder: " + e);
        }
    }

    /** Returns the state that was recovered when the folder was opened. */
    public DurableState recovered() {
        return mRecovered;
    }

    /**
     * Writes all persists with a single sync and returns the number of the last one.
     *
     * <p>On failure none of them counts as written. {@code STORAGE_FAILED} means that none is in
     * the file, {@code COMMIT_UNKNOWN} that some may be recovered if the process ends before the
     * next write.
     */
    public Result<Long> persist(List<Persist> persists) {
        List<LogRecord> records = new ArrayList<>();
        for (Persist persist : persists) {
            persist.hardState().map(LogRecord::of).ifPresent(records::add);
            persist.entries().stream().map(LogRecord::of).forEach(records::add);
        }
        long number = persists.get(persists.size() - 1).number();
        try {
            mFolder.requireOpen();
            mLogFile.append(records);
            return Result.success(number);
        } catch (IOException e) {
            return failed(
                    mLogFile.isIntact() ? ErrorKind.STORAGE_FAILED : ErrorKind.COMMIT_UNKNOWN, e);
        }
    }

    /** Saves a snapshot, then replaces the log with the remaining entries; returns its number. */
    public Result<Long> save(SaveSnapshot save) {
        List<LogRecord> records = new ArrayList<>();
        records.add(LogRecord.of(save.hardState()));
        save.remaining().stream().map(LogRecord::of).forEach(records::add);
        try {
            mFolder.requireOpen();
            mSnapshotFile.write(save.snapshot());
            mLogFile.replace(records);
            return Result.success(save.number());
        } catch (IOException e) {
            return failed(ErrorKind.STORAGE_FAILED, e);
        }
    }

    /** Checks that the log can be written and that there is room for this many bytes. */
    public Result<Void> check(long sizeBytes) {
        try {
            mFolder.requireOpen();
            mLogFile.repairIfNeeded();
            mFolder.checkRoom(sizeBytes);
            return Result.success(null);
        } catch (IOException e) {
            return failed(ErrorKind.STORAGE_FAILED, e);
        }
    }

    @Override
    public void close() throws IOException {
        mLogFile.close();
        mFolder.close();
    }

    private AgreementStorage withRecovered(DurableState recovered) {
        mRecovered = recovered;
        return this;
    }

    private Result<DurableState> recoverOrClose(ObjectName vm, LongSupplier randomNumber)
            throws IOException {
        Result<DurableState> recovered =
                Result.failure(ErrorKind.STORAGE_FAILED, "recovery not finished");
        try {
            recovered = recover(vm, randomNumber);
            return recovered;
        } finally {
            if (!recovered.isSuccess()) {
                close();
            }
        }
    }

    private Result<DurableState> recover(ObjectName vm, LongSupplier randomNumber)
            throws IOException {
        Path identityFile = mFolder.file(IDENTITY_FILE_NAME);
        if (!Files.exists(identityFile)) {
            return createIdentity(vm, randomNumber);
        }
        if (!mLogFile.exists()) {
            return Result.failure(
                    ErrorKind.STORAGE_FAILED,
                    identityFile
                            + " exists, but the log file is missing. Move the data folder away and"
                            + " start with an empty one.");
        }
        return LogRecord.onlyPayload(Files.readAllBytes(identityFile))
                .map(payload -> MessageReader.decode(payload, AgreementStorage::read))
                .filter(Result::isSuccess)
                .orElseGet(() -> damaged(identityFile))
                .flatMap(identity -> recoverAs(vm, identity));
    }

    private static Result<Identity> damaged(Path identityFile) {
        return Result.failure(
                ErrorKind.STORAGE_FAILED,
                identityFile
                        + " is damaged. Move the data folder away and start with an empty"
                        + " one. The VM then joins as a new member.");
    }

    private Result<DurableState> recoverAs(ObjectName vm, Identity identity) {
        MemberId self = identity.self();
        if (!self.vm().equals(vm)) {
            return Result.failure(
                    ErrorKind.STORAGE_FAILED,
                    "the data folder belongs to VM " + self.vm() + ", not to " + vm);
        }
        try {
            Result<Optional<Snapshot>> snapshot = mSnapshotFile.read();
            return snapshot.fold(
                    present -> recoverAfter(identity, present), error -> Result.failure(error));
        } catch (IOException e) {
            return Result.failure(ErrorKind.STORAGE_FAILED, String.valueOf(e));
        }
    }

    private Result<DurableState> recoverAfter(Identity identity, Optional<Snapshot> snapshot) {
        RecoveredLog log = new RecoveredLog(snapshot);
        try {
            return mLogFile.read(log::add)
                    .flatMap(ignored -> log.stateOf(identity.self(), identity.isOfFirstStart()));
        } catch (IOException e) {
            return Result.failure(ErrorKind.STORAGE_FAILED, String.valueOf(e));
        }
    }

    private Result<DurableState> createIdentity(ObjectName vm, LongSupplier randomNumber)
            throws IOException {
        if (mLogFile.exists() && Files.size(mFolder.file("log")) > Long.BYTES) {
            return Result.failure(
                    ErrorKind.STORAGE_FAILED,
                    "the data folder contains a log but no identity file. Move it away and start"
                            + " with an empty one.");
        }
        MemberId self = new MemberId(vm, randomNumber.getAsLong());
        mLogFile.replace(List.of());
        MessageWriter writer =
                new MessageWriter(mIsFirstStart ? IDENTITY_OF_FIRST_START : IDENTITY);
        EntryEncoding.write(writer, self);
        byte[] payload = writer.toBytes();
        mFolder.replace(IDENTITY_FILE_NAME, file -> LogRecord.write(payload, file));
        return Result.success(DurableState.uninitialized(self, mIsFirstStart));
    }

    private static Identity read(MessageReader reader) {
        int type = reader.type();
        if (type != IDENTITY && type != IDENTITY_OF_FIRST_START) {
            throw new IllegalArgumentException("not an identity record");
        }
        return new Identity(EntryEncoding.readMember(reader), type == IDENTITY_OF_FIRST_START);
    }

    private static <T> Result<T> failed(ErrorKind kind, IOException cause) {
        return Result.failure(kind, "the disk failed at " + cause.getMessage());
    }
}
