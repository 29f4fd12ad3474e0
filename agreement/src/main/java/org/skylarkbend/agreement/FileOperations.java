package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The operations that change files, each of which may fail. Tests substitute a failing disk. */
@FunctionalInterface
public interface FileOperations {
    /** Writes all bytes at the position of the channel, or throws after writing some or none. */
    void write(FileChannel channel, ByteBuffer bytes) throws IOException;

    /** Syncs a file or a folder. After a failure, the content of all unsynced bytes is unknown. */
    default void sync(FileChannel channel) throws IOException {
        channel.force(true);
    }

    /** Syncs the names in a folder: of files that were created, renamed or removed. */
    default void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            sync(channel);
        }
    }

    /** Cuts a file to this length. Does not sync it. */
    default void truncate(FileChannel channel, long lengthBytes) throws IOException {
        channel.truncate(lengthBytes);
    }

    /** Moves a file over another one atomically. Does not sync the folder. */
    default void replace(Path newFile, Path file) throws IOException {
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Returns an implementation that passes everything directly to the file system. */
    static FileOperations direct() {
        return (channel, bytes) -> {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        };
    }
}
