package org.skylarkbend.agreement;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;

/**
 * The append-only file of hard states and log entries.
 *
 * <p>A failed write or sync leaves unknown bytes behind the last synced length. They are cut and
 * the records before them are checked before anything else is written, so that a disk that has room
 * again is used again.
 *
 * <p>A second, small file stores the length of the log file at its last sync. It is not synced
 * itself, so its value may be stale but is never ahead of the last sync. Records before that length
 * may have been acknowledged and must be intact.
 */
final class LogFile implements Closeable {
    private static final StructuredLog LOG = StructuredLog.of(LogFile.class);
    private static final String FILE_NAME = "log";
    private static final String SYNCED_FILE_NAME = "log.synced";
    private static final int GENERATION_BYTES = Long.BYTES;
    private static final int PART_BYTES = 64 * 1024;

    private final DataFolder mFolder;
    private FileChannel mChannel;
    private long mGeneration;
    private long mLengthBytes;
    private boolean mIsIntact = true;
    private boolean mNoteFailed;
    private Optional<Replacement> mReplacement = Optional.empty();

    /** A new version of the file that may be in place. */
    private record Replacement(long generation, long lengthBytes) {}

    LogFile(DataFolder folder) {
        mFolder = folder;
    }

    boolean exists() {
        return Files.exists(mFolder.file(FILE_NAME));
    }

    /**
     * Replaces the log with one that contains only these records. After a failure, either log may
     * be in use; the repair tells them apart by their generations.
     */
    void replace(List<LogRecord> records) throws IOException {
        repairIfNeeded();
        long generation = mGeneration + 1;
        long lengthBytes = mFolder.writeNew(FILE_NAME, file -> writeAll(file, generation, records));
        mReplacement = Optional.of(new Replacement(generation, lengthBytes));
        runOrRepair(
                () -> {
                    mFolder.replaceWithNew(FILE_NAME);
                    reopen();
                    mGeneration = generation;
                    mLengthBytes = lengthBytes;
                });
        mReplacement = Optional.empty();
        writeSyncedLength();
    }

    /**
     * Passes all records to the consumer, and syncs them and their folder, because an earlier
     * process may have ended before it did. Truncates a torn tail; fails with {@code
     * STORAGE_FAILED} on other damage.
     */
    Result<Void> read(Consumer<LogRecord> consumer) throws IOException {
        reopen();
        LogFileReader reader = new LogFileReader(mChannel);
        if (reader.lengthBytes() < GENERATION_BYTES) {
            return corrupted(0);
        }
        mGeneration = reader.numberAt(0);
        long syncedBytes = Math.max(GENERATION_BYTES, syncedLengthBytes());
        long positionBytes = GENERATION_BYTES;
        Optional<byte[]> payload = reader.payloadAt(positionBytes);
        while (payload.isPresent()) {
            Result<LogRecord> record = LogRecord.decode(payload.get());
            if (!record.isSuccess()) {
                return corrupted(positionBytes);
            }
            record.match(consumer, error -> {});
            positionBytes += LogRecord.HEADER_BYTES + payload.get().length;
            payload = reader.payloadAt(positionBytes);
        }
        if (positionBytes < syncedBytes || reader.hasRecordAfter(positionBytes)) {
            return corrupted(positionBytes);
        }
        writeAgain(reader, syncedBytes, positionBytes);
        truncateTornTail(positionBytes, reader.lengthBytes());
        mFolder.sync();
        return Result.success(null);
    }

    /**
     * Appends and syncs. After a failure, the records are not in the file if {@link #isIntact};
     * otherwise some of them may be found if the file is read before the next write.
     */
    void append(List<LogRecord> records) throws IOException {
        repairIfNeeded();
        runOrRepair(
                () -> {
                    ChunkedWriter writer = new ChunkedWriter(mChannel, mFolder.fileOperations());
                    mChannel.position(mLengthBytes);
                    writeAll(writer, records);
                    mFolder.fileOperations().sync(mChannel);
                    mLengthBytes += writer.writtenBytes();
                });
        writeSyncedLength();
    }

    /** Returns whether the file has exactly the records whose writes have succeeded. */
    boolean isIntact() {
        return mIsIntact;
    }

    @Override
    public void close() throws IOException {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    private static void writeAll(ChunkedWriter file, long generation, List<LogRecord> records)
            throws IOException {
        file.write(ByteBuffer.allocate(GENERATION_BYTES).putLong(generation).array());
        writeAll(file, records);
    }

    private static void writeAll(ChunkedWriter file, List<LogRecord> records) throws IOException {
        for (LogRecord record : records) {
            record.writeTo(file);
        }
        file.flush();
    }

    private void reopen() throws IOException {
        close();
        mChannel =
                FileChannel.open(
                        mFolder.file(FILE_NAME), StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /**
     * Writes records again that may be in memory only, because an earlier process failed to sync
     * them. Another sync alone would succeed and leave them there.
     */
    private void writeAgain(LogFileReader reader, long fromBytes, long toBytes) throws IOException {
        ByteBuffer part = ByteBuffer.allocate(PART_BYTES);
        for (long nextBytes = fromBytes; nextBytes < toBytes; nextBytes += PART_BYTES) {
            part.clear().limit((int) Math.min(PART_BYTES, toBytes - nextBytes));
            reader.read(part, nextBytes);
            mChannel.position(nextBytes);
            mFolder.fileOperations().write(mChannel, part.flip());
        }
    }

    private void truncateTornTail(long lengthBytes, long fileBytes) throws IOException {
        mLengthBytes = lengthBytes;
        if (lengthBytes < fileBytes) {
            LOG.warn("agreement.log.cut", "at_bytes", lengthBytes, "of_bytes", fileBytes);
        }
        cutAfter(lengthBytes);
    }

    private void cutAfter(long lengthBytes) throws IOException {
        if (mChannel.size() > lengthBytes) {
            mFolder.fileOperations().truncate(mChannel, lengthBytes);
        }
        mFolder.fileOperations().sync(mChannel);
    }

    /** Runs an operation that changes the file, and tries to repair the file if it fails. */
    private void runOrRepair(DiskOperation operation) throws IOException {
        mIsIntact = false;
        try {
            operation.run();
            mIsIntact = true;
        } catch (IOException e) {
            try {
                repairIfNeeded();
            } catch (IOException repair) {
                e.addSuppressed(repair);
            }
            throw e;
        }
    }

    /**
     * After a failed operation, opens the file anew, cuts what is not synced and checks the rest.
     */
    void repairIfNeeded() throws IOException {
        if (mIsIntact) {
            return;
        }
        reopen();
        long generation = generationInFile();
        mReplacement
                .filter(replacement -> replacement.generation() == generation)
                .ifPresent(
                        replacement -> {
                            mGeneration = generation;
                            mLengthBytes = replacement.lengthBytes();
                        });
        if (generation != mGeneration || mChannel.size() < mLengthBytes) {
            throw new IOException(damageAt(0));
        }
        cutAfter(mLengthBytes);
        mFolder.sync();
        checkRecords();
        mReplacement = Optional.empty();
        mIsIntact = true;
        LOG.debug("agreement.log.repaired", "at_bytes", mLengthBytes);
    }

    private long generationInFile() throws IOException {
        LogFileReader reader = new LogFileReader(mChannel);
        if (reader.lengthBytes() < GENERATION_BYTES) {
            throw new IOException(damageAt(0));
        }
        return reader.numberAt(0);
    }

    private void checkRecords() throws IOException {
        LogFileReader reader = new LogFileReader(mChannel);
        long positionBytes = GENERATION_BYTES;
        while (positionBytes < mLengthBytes) {
            Optional<byte[]> payload = reader.payloadAt(positionBytes);
            if (payload.isEmpty()) {
                throw new IOException(damageAt(positionBytes));
            }
            positionBytes += LogRecord.HEADER_BYTES + payload.get().length;
        }
    }

    private void writeSyncedLength() throws IOException {
        byte[] marker =
                ByteBuffer.allocate(2 * Long.BYTES)
                        .putLong(mGeneration)
                        .putLong(mLengthBytes)
                        .array();
        try {
            mFolder.overwrite(SYNCED_FILE_NAME, LogRecord.frame(marker));
            mNoteFailed = false;
        } catch (IOException e) {
            if (!mNoteFailed) {
                LOG.warn("agreement.log.note_failed", "detail", e.getMessage());
            }
            mNoteFailed = true;
        }
    }

    private long syncedLengthBytes() throws IOException {
        Path file = mFolder.file(SYNCED_FILE_NAME);
        if (!Files.exists(file)) {
            return 0;
        }
        return LogRecord.onlyPayload(Files.readAllBytes(file))
                .map(ByteBuffer::wrap)
                .filter(marker -> marker.getLong(0) == mGeneration)
                .map(marker -> marker.getLong(Long.BYTES))
                .orElse(0L);
    }

    private <T> Result<T> corrupted(long positionBytes) {
        return Result.failure(ErrorKind.STORAGE_FAILED, damageAt(positionBytes));
    }

    private String damageAt(long positionBytes) {
        return mFolder.file(FILE_NAME)
                + " is damaged at byte "
                + positionBytes
                + ", which is not a torn tail. Replace the disk, or move the data folder"
                + " away and start with an empty one. The VM then joins as a new member.";
    }
}
