package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.NonReadableChannelException;
import java.nio.channels.NonWritableChannelException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A disk that keeps apart what processes read from the log and what is left of it after a loss of
 * power. A failed sync leaves the bytes in memory, where a later sync does not find them. A new
 * version of the log is lost until its folder is synced.
 */
final class PowerLossDisk implements FileOperations {
    private final Path mLog;
    private final List<Range> mUnsynced = new ArrayList<>();
    private byte[] mContent = new byte[0];
    private Optional<byte[]> mFormerContent = Optional.empty();
    private boolean mFailingLog;
    private int mFolderSyncsBeforeFailure = Integer.MAX_VALUE;
    private int mOperationsBeforeEnd = Integer.MAX_VALUE;

    /** Bytes of the log that are written and not synced. */
    private record Range(long fromBytes, int sizeBytes) {}

    PowerLossDisk(Path log) {
        mLog = log;
    }

    /** Makes syncs and cuts of the log fail from now on. */
    void failLog() {
        mFailingLog = true;
    }

    /** Makes syncs of the folder fail after this number of them. */
    void failFolderAfter(int syncs) {
        mFolderSyncsBeforeFailure = syncs;
    }

    /** Makes everything fail after this number of operations. */
    void endAfter(int operations) {
        mOperationsBeforeEnd = operations;
    }

    void recover() {
        mFailingLog = false;
        mFolderSyncsBeforeFailure = Integer.MAX_VALUE;
    }

    /** Leaves what is left after a loss of power. */
    void losePower() throws IOException {
        mContent = mFormerContent.orElse(mContent);
        mFormerContent = Optional.empty();
        mUnsynced.clear();
        mOperationsBeforeEnd = Integer.MAX_VALUE;
        Files.write(mLog, mContent);
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        countOperation();
        if (isLog(channel)) {
            mUnsynced.add(new Range(channel.position(), bytes.remaining()));
        }
        FileOperations.direct().write(channel, bytes);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        countOperation();
        if (isFolder(channel)) {
            mFolderSyncsBeforeFailure--;
            failIf(mFolderSyncsBeforeFailure < 0);
            mFormerContent = Optional.empty();
        } else if (isLog(channel)) {
            List<Range> unsynced = List.copyOf(mUnsynced);
            mUnsynced.clear();
            failIf(mFailingLog);
            mContent = Arrays.copyOf(mContent, (int) channel.size());
            for (Range range : unsynced) {
                readInto(mContent, channel, range);
            }
        }
    }

    @Override
    public void truncate(FileChannel channel, long lengthBytes) throws IOException {
        countOperation();
        failIf(mFailingLog);
        FileOperations.direct().truncate(channel, lengthBytes);
    }

    @Override
    public void replace(Path newFile, Path file) throws IOException {
        countOperation();
        if (file.equals(mLog)) {
            mFormerContent = Optional.of(mFormerContent.orElse(mContent));
            mContent = Files.readAllBytes(newFile);
        }
        FileOperations.direct().replace(newFile, file);
    }

    private void countOperation() throws IOException {
        mOperationsBeforeEnd--;
        failIf(mOperationsBeforeEnd < 0);
    }

    private static void readInto(byte[] content, FileChannel channel, Range range)
            throws IOException {
        int fromBytes = (int) range.fromBytes();
        int sizeBytes = Math.min(range.sizeBytes(), content.length - fromBytes);
        if (sizeBytes > 0) {
            channel.read(ByteBuffer.wrap(content, fromBytes, sizeBytes), fromBytes);
        }
    }

    /** Returns whether this is the log, the only file that is open for both. */
    private static boolean isLog(FileChannel channel) throws IOException {
        try {
            channel.read(ByteBuffer.allocate(0));
            return !isFolder(channel);
        } catch (NonReadableChannelException e) {
            return false;
        }
    }

    private static boolean isFolder(FileChannel channel) throws IOException {
        try {
            channel.write(ByteBuffer.allocate(0));
            return false;
        } catch (NonWritableChannelException e) {
            return true;
        }
    }

    private static void failIf(boolean fails) throws IOException {
        if (fails) {
            throw new IOException("No space left on device");
        }
    }
}
