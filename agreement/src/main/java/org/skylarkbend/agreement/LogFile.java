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
 * <p>A second, small file stores the length of the log file at its last sync. It is not synced
 * itself, so its value may be stale but is never ahead of the last sync. Records before that length
 * may have been acknowledged and must be intact.
 */
final class LogFile implements Closeable {
    private static final StructuredLog LOG = StructuredLog.of(LogFile.class);
    private static final String FILE_NAME = "log";
    private static final String SYNCED_FILE_NAME = "log.synced";
    private static final int GENERATION_BYTES = Long.BYTES;

    private final DataFolder mFolder;
    private FileChannel mChannel;
    private long mGeneration;
    private long mLengthBytes;

    LogFile(DataFolder folder) {
        mFolder = folder;
    }

    boolean exists() {
        return Files.exists(mFolder.file(FILE_NAME));
    }

    /**
     * Replaces the log with one that contains only these records.
     *
     * <p>If writing the new file fails, the old log stays in use. If moving it into place fails,
     * this object accepts no more writes.
     *
     * @param generation a number that no earlier log in this folder had
     */
    void replace(long generation, List<LogRecord> records) throws IOException {
        long lengthBytes = mFolder.writeNew(FILE_NAME, file -> writeAll(file, generation, records));
        close();
        mFolder.replaceWithNew(FILE_NAME);
        reopen();
        mGeneration = generation;
        mLengthBytes = lengthBytes;
        writeSyncedLength();
    }

    long generation() {
        return mGeneration;
    }

    /**
     * Passes all records to the consumer. Truncates a torn tail; fails with {@code STORAGE_FAILED}
     * on other damage.
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
        truncateTornTail(positionBytes, reader.lengthBytes());
        return Result.success(null);
    }

    /** Appends and syncs. After a failure, the file is unchanged or accepts no more writes. */
    void append(List<LogRecord> records) throws IOException {
        ChunkedWriter writer = new ChunkedWriter(mChannel, mFolder.channelWriter());
        try {
            mChannel.position(mLengthBytes);
            writeAll(writer, records);
        } catch (IOException e) {
            truncate(mLengthBytes);
            throw e;
        }
        sync();
        mLengthBytes += writer.writtenBytes();
        writeSyncedLength();
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

    private void truncateTornTail(long lengthBytes, long fileBytes) throws IOException {
        mLengthBytes = lengthBytes;
        if (lengthBytes < fileBytes) {
            LOG.warn("agreement.log.cut", "at_bytes", lengthBytes, "of_bytes", fileBytes);
            truncate(lengthBytes);
        }
        sync();
    }

    private void truncate(long lengthBytes) throws IOException {
        try {
            mChannel.truncate(lengthBytes);
        } catch (IOException e) {
            mChannel.close();
            throw e;
        }
    }

    /** Syncs the file. Closes it if that fails, because the content on disk is then unknown. */
    private void sync() throws IOException {
        try {
            mChannel.force(false);
        } catch (IOException e) {
            mChannel.close();
            throw e;
        }
    }

    private void writeSyncedLength() throws IOException {
        byte[] marker =
                ByteBuffer.allocate(2 * Long.BYTES)
                        .putLong(mGeneration)
                        .putLong(mLengthBytes)
                        .array();
        Path file = mFolder.file(SYNCED_FILE_NAME);
        try {
            Files.write(file, LogRecord.frame(marker));
        } catch (IOException e) {
            LOG.warn("agreement.log.note_failed", "detail", e.getMessage());
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
        return Result.failure(
                ErrorKind.STORAGE_FAILED,
                mFolder.file(FILE_NAME)
                        + " is damaged at byte "
                        + positionBytes
                        + ", which is not a torn tail. Replace the disk, or move the data folder"
                        + " away and start with an empty one. The VM then joins as a new member.");
    }
}
