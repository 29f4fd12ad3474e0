package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A disk on which some operations fail while it has no room. A failed write leaves a part of its
 * bytes behind; each second failed sync leaves other bytes in place of those that were not synced.
 */
final class FaultyDisk implements FileOperations {
    /** An operation that may fail. */
    enum Operation {
        WRITE,
        SYNC_FILE,
        SYNC_FOLDER,
        TRUNCATE,
        REPLACE
    }

    private final Map<FileChannel, Long> mUnsyncedFromBytes = new HashMap<>();
    private Set<Operation> mFailing = Set.of();
    private int mPassing;
    private int mFailures;
    private DiskOperation mOnFailure = () -> {};

    /**
     * Makes operations fail from now on.
     *
     * @param operations the operations that fail
     * @param passing the number of these operations that still succeed
     */
    void fail(Set<Operation> operations, int passing) {
        mFailing = operations;
        mPassing = passing;
    }

    /** Makes all operations succeed again. */
    void recover() {
        mFailing = Set.of();
    }

    /** Runs this just before each operation that fails. */
    void onFailure(DiskOperation onFailure) {
        mOnFailure = onFailure;
    }

    int failures() {
        return mFailures;
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        mUnsyncedFromBytes.putIfAbsent(channel, channel.position());
        if (fails(Operation.WRITE)) {
            int half = bytes.remaining() / 2;
            FileOperations.direct().write(channel, bytes.slice(bytes.position(), half));
            throw noRoom();
        }
        FileOperations.direct().write(channel, bytes);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        Long unsyncedFromBytes = mUnsyncedFromBytes.remove(channel);
        if (unsyncedFromBytes == null) {
            throwIf(fails(Operation.SYNC_FOLDER));
        } else if (fails(Operation.SYNC_FILE)) {
            if (mFailures % 2 == 0) {
                long changedFromBytes = (unsyncedFromBytes + channel.size()) / 2;
                int changedBytes = (int) (channel.size() - changedFromBytes);
                channel.write(ByteBuffer.allocate(changedBytes), changedFromBytes);
            }
            throw noRoom();
        }
    }

    @Override
    public void truncate(FileChannel channel, long lengthBytes) throws IOException {
        throwIf(fails(Operation.TRUNCATE));
        FileOperations.direct().truncate(channel, lengthBytes);
    }

    @Override
    public void replace(Path newFile, Path file) throws IOException {
        throwIf(fails(Operation.REPLACE));
        FileOperations.direct().replace(newFile, file);
    }

    private boolean fails(Operation operation) throws IOException {
        if (!mFailing.contains(operation)) {
            return false;
        }
        mPassing--;
        if (mPassing >= 0) {
            return false;
        }
        mFailures++;
        mOnFailure.run();
        return true;
    }

    private static void throwIf(boolean fails) throws IOException {
        if (fails) {
            throw noRoom();
        }
    }

    private static IOException noRoom() {
        return new IOException("No space left on device");
    }
}
