package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/** Adds the name of the failed operation to each exception of other file operations. */
record NamedFileOperations(FileOperations operations) implements FileOperations {
    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        named("write", () -> operations.write(channel, bytes));
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
        named("sync", () -> operations.sync(channel));
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        named("sync", () -> operations.syncFolder(folder));
    }

    @Override
    public void truncate(FileChannel channel, long lengthBytes) throws IOException {
        named("truncate", () -> operations.truncate(channel, lengthBytes));
    }

    @Override
    public void replace(Path newFile, Path file) throws IOException {
        named("replace", () -> operations.replace(newFile, file));
    }

    private static void named(String name, DiskOperation operation) throws IOException {
        try {
            operation.run();
        } catch (IOException e) {
            throw new IOException(name + ": " + e, e);
        }
    }
}
