package org.skylarkbend.agreement;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The folder that contains the files of a member. Only one process can have it open. */
final class DataFolder implements Closeable {
    private static final String LOCK_FILE_NAME = "lock";
    private static final String NEW_SUFFIX = ".new";
    private static final String CHECK_FILE_NAME = "check";

    /** The size of a block of common file systems. */
    private static final int CHECK_PART_BYTES = 4096;

    private final Path mPath;
    private final FileOperations mFileOperations;
    private final FileChannel mLockChannel;

    private DataFolder(Path path, FileOperations fileOperations, FileChannel lockChannel) {
        mPath = path;
        mFileOperations = fileOperations;
        mLockChannel = lockChannel;
    }

    static DataFolder open(Path path, FileOperations fileOperations) throws IOException {
        FileOperations operations = new NamedFileOperations(fileOperations);
        DurableFolders.create(path, operations);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!acquireLock(channel)) {
            channel.close();
            throw new IOException(path + " is in use by another process");
        }
        try {
            deleteUnfinished(path);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        return new DataFolder(path, operations, channel);
    }

    Path file(String name) {
        return mPath.resolve(name);
    }

    /** Throws if the folder is closed and may belong to another process. */
    void requireOpen() throws IOException {
        if (!mLockChannel.isOpen()) {
            throw new IOException(mPath + " is closed");
        }
    }

    FileOperations fileOperations() {
        return mFileOperations;
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
     * Returns its size in bytes. After a failure, the new version takes no room.
     */
    long writeNew(String name, Content content) throws IOException {
        Path newFile = file(name + NEW_SUFFIX);
        try {
            return write(newFile, content);
        } catch (IOException e) {
            deleteAfter(e, newFile);
            throw e;
        }
    }

    /**
     * Replaces a file atomically with its new version and syncs the folder. After a failure, either
     * version may be in place, and also after a crash.
     */
    void replaceWithNew(String name) throws IOException {
        Path newFile = file(name + NEW_SUFFIX);
        try {
            mFileOperations.replace(newFile, file(name));
        } catch (IOException e) {
            deleteAfter(e, newFile);
            throw e;
        }
        sync();
    }

    /** Syncs the directory entries of the folder. */
    void sync() throws IOException {
        mFileOperations.syncFolder(mPath);
    }

    /** Replaces a file by one of at least this many bytes, as a snapshot does, and removes it. */
    void checkRoom(long sizeBytes) throws IOException {
        try {
            replace(CHECK_FILE_NAME, file -> writeZeros(file, sizeBytes));
        } finally {
            Files.deleteIfExists(file(CHECK_FILE_NAME));
        }
    }

    /** Overwrites a file. Neither atomic nor synced. */
    void overwrite(String name, byte[] content) throws IOException {
        try (FileChannel channel = openNew(file(name))) {
            mFileOperations.write(channel, ByteBuffer.wrap(content));
        }
    }

    @Override
    public void close() throws IOException {
        mLockChannel.close();
    }

    private long write(Path newFile, Content content) throws IOException {
        try (FileChannel channel = openNew(newFile)) {
            ChunkedWriter writer = new ChunkedWriter(channel, mFileOperations);
            content.writeTo(writer);
            writer.flush();
            mFileOperations.sync(channel);
            return writer.writtenBytes();
        }
    }

    private static FileChannel openNew(Path file) throws IOException {
        return FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }

    private static void writeZeros(ChunkedWriter file, long sizeBytes) throws IOException {
        byte[] zeros = new byte[CHECK_PART_BYTES];
        for (long written = 0; written <= sizeBytes; written += zeros.length) {
            file.write(zeros);
        }
    }

    private static void deleteAfter(IOException failure, Path newFile) {
        try {
            Files.deleteIfExists(newFile);
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    private static void deleteUnfinished(Path path) throws IOException {
        Files.deleteIfExists(path.resolve(CHECK_FILE_NAME));
        try (DirectoryStream<Path> files = Files.newDirectoryStream(path, "*" + NEW_SUFFIX)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
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
