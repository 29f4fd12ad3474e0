package org.skylarkbend.agreement;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * Writes many parts to a file in few operations. The memory it uses does not depend on the size of
 * the file.
 */
final class ChunkedWriter {
    private static final int CHUNK_BYTES = 256 * 1024;

    private final FileChannel mChannel;
    private final FileOperations mFileOperations;
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private long mWrittenBytes;

    /** Creates a writer that starts at the position of the channel. */
    ChunkedWriter(FileChannel channel, FileOperations fileOperations) {
        mChannel = channel;
        mFileOperations = fileOperations;
    }

    /** Appends bytes. They may be in memory until {@link #flush}. */
    void write(byte[] bytes) throws IOException {
        if (mPending.size() + bytes.length > CHUNK_BYTES) {
            flush();
        }
        if (bytes.length > CHUNK_BYTES) {
            mFileOperations.write(mChannel, ByteBuffer.wrap(bytes));
        } else {
            mPending.writeBytes(bytes);
        }
        mWrittenBytes += bytes.length;
    }

    /** Writes what is still in memory to the file. Does not sync it. */
    void flush() throws IOException {
        mFileOperations.write(mChannel, ByteBuffer.wrap(mPending.toByteArray()));
        mPending.reset();
    }

    /** Returns the number of bytes that were appended. */
    long writtenBytes() {
        return mWrittenBytes;
    }
}
