package org.skylarkbend.agreement;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The folder that contains the files of a member. Only one process can have it open. */
final class DataFolder implements Closeable {
    private static final String LOCK_FILE_NAME = "lock";
    private static final String NEW_SUFFIX = ".new";

    private final Path mPath;
    private final ChannelWriter mChannelWriter;
    private final FileChannel mLockChannel;

    private DataFolder(Path path, ChannelWriter channelWriter, FileChannel lockChannel) {
        mPath = path;
        mChannelWriter = channelWriter;
        mLockChannel = lockChannel;
    }

    static DataFolder open(Path path, ChannelWriter channelWriter) throws IOException {
        Files.createDirectories(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!acquireLock(channel)) {
            channel.close();
            throw new IOException(path + " is in use by another process");
        }
        return new DataFolder(path, channelWriter, channel);
    }

    Path file(String name) {
        return mPath.resolve(name);
    }

    ChannelWriter channelWriter() {
        return mChannelWriter;
    }

    /** Writes the content of a file, part by part. */
    @FunctionalInterface
    interface Content {
        void writeTo(ChunkedWriter writer) throws IOException;
    }

    /** Replaces a file atomically, and syncs the file and the folder. */
    void replace(String name, Content content) throws IOException {
        writeNew(name, content);
        replaceWithNew(name);
    }

    /**
     * Writes and syncs the new version of a file, to be activated by {@link #replaceWithNew}.
     * Returns its size in bytes.
     */
    long writeNew(String name, Content content) throws IOException {
        Path newFile = file(name + NEW_SUFFIX);
        try (FileChannel channel =
                FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ChunkedWriter writer = new ChunkedWriter(channel, mChannelWriter);
            content.writeTo(writer);
            writer.flush();
            channel.force(true);
            return writer.writtenBytes();
        }
    }

    /** Replaces a file atomically with its new version and syncs the folder. */
    void replaceWithNew(String name) throws IOException {
        Files.move(file(name + NEW_SUFFIX), file(name), StandardCopyOption.ATOMIC_MOVE);
        sync();
    }

    /** Syncs the directory entries of the folder. */
    void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(mPath, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        mLockChannel.close();
    }

    private static boolean acquireLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }
}
