package org.skylarkbend.agreement;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ByteBuffer.allocate(GENERATION_BYTES).putLong(generation).array());
        records.forEach(record -> bytes.writeBytes(record.toBytes()));
        mFolder.writeNew(FILE_NAME, bytes.toByteArray());
        close();
        mFolder.replaceWithNew(FILE_NAME);
        reopen();
        mGeneration = generation;
        mLengthBytes = bytes.size();
        writeSyncedLength();
    }

    long generation() {
        return mGeneration;
    }

    /**
     * Reads all records. Truncates a torn tail; fails with {@code STORAGE_FAILED} on other damage.
     */
    Result<List<LogRecord>> read() throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(mFolder.file(FILE_NAME)));
        if (bytes.limit() < GENERATION_BYTES) {
            return corrupted(0);
        }
        mGeneration = bytes.getLong(0);
        long syncedBytes = Math.max(GENERATION_BYTES, syncedLengthBytes());
        List<LogRecord> records = new ArrayList<>();
        int positionBytes = GENERATION_BYTES;
        Optional<byte[]> payload = LogRecord.payloadAt(bytes, positionBytes);
        while (payload.isPresent()) {
            Result<LogRecord> record = LogRecord.decode(payload.get());
            if (!record.isSuccess()) {
                return corrupted(positionBytes);
            }
            record.match(records::add, error -> {});
            positionBytes += LogRecord.HEADER_BYTES + payload.get().length;
            payload = LogRecord.payloadAt(bytes, positionBytes);
        }
        if (positionBytes < syncedBytes || hasRecordAfter(bytes, positionBytes)) {
            return corrupted(positionBytes);
        }
        truncateTornTail(positionBytes, bytes.limit());
        return Result.success(records);
    }

    /** Appends and syncs. After a failure, the file is unchanged or accepts no more writes. */
    void append(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        records.forEach(record -> bytes.writeBytes(record.toBytes()));
        try {
            mChannel.position(mLengthBytes);
            mFolder.channelWriter().write(mChannel, ByteBuffer.wrap(bytes.toByteArray()));
        } catch (IOException e) {
            truncate(mLengthBytes);
            throw e;
        }
        sync();
        mLengthBytes += bytes.size();
        writeSyncedLength();
    }

    @Override
    public void close() throws IOException {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    private void reopen() throws IOException {
        close();
        mChannel =
                FileChannel.open(
                        mFolder.file(FILE_NAME), StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    private void truncateTornTail(int lengthBytes, int fileBytes) throws IOException {
        reopen();
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
        return LogRecord.payloadAt(ByteBuffer.wrap(Files.readAllBytes(file)), 0)
                .map(ByteBuffer::wrap)
                .filter(marker -> marker.getLong(0) == mGeneration)
                .map(marker -> marker.getLong(Long.BYTES))
                .orElse(0L);
    }

    private static boolean hasRecordAfter(ByteBuffer bytes, int positionBytes) {
        for (int next = positionBytes + 1; next < bytes.limit(); next++) {
            if (LogRecord.payloadAt(bytes, next).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private <T> Result<T> corrupted(int positionBytes) {
        return Result.failure(
                ErrorKind.STORAGE_FAILED,
                mFolder.file(FILE_NAME)
                        + " is damaged at byte "
                        + positionBytes
                        + ", which is not a torn tail. Replace the disk, or move the data folder"
                        + " away and start with an empty one. The VM then joins as a new member.");
    }
}
