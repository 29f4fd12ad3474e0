package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Reads the records of a log file one at a time, so that the memory it uses does not depend on the
 * size of the file.
 */
final class LogFileReader {
    private static final int WINDOW_BYTES = 64 * 1024;

    /** The largest payload of a record: a command of the maximum size and its entry. */
    private static final int MAX_PAYLOAD_BYTES = AgreementTask.MAX_COMMAND_BYTES + WINDOW_BYTES;

    private final FileChannel mChannel;
    private final long mLengthBytes;
    private final ByteBuffer mWindow = ByteBuffer.allocate(WINDOW_BYTES);
    private long mWindowAtBytes;

    LogFileReader(FileChannel channel) throws IOException {
        mChannel = channel;
        mLengthBytes = channel.size();
        mWindow.limit(0);
    }

    /** Returns the size of the file. */
    long lengthBytes() {
        return mLengthBytes;
    }

    /** Returns the 8-byte number at this position, which must be in the file. */
    long numberAt(long positionBytes) throws IOException {
        return window(positionBytes, Long.BYTES).getLong();
    }

    /** Returns the payload of the record at this position, or empty if it is torn or damaged. */
    Optional<byte[]> payloadAt(long positionBytes) throws IOException {
        Optional<LogRecord.Header> header = headerAt(positionBytes);
        if (header.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer payload = ByteBuffer.allocate(header.get().payloadBytes());
        read(payload, positionBytes + LogRecord.HEADER_BYTES);
        return header.get().matches(payload.array())
                ? Optional.of(payload.array())
                : Optional.empty();
    }

    /** Returns whether an intact record starts anywhere after this position. */
    boolean hasRecordAfter(long positionBytes) throws IOException {
        for (long next = positionBytes + 1; next < mLengthBytes; next++) {
            if (isRecordAt(next)) {
                return true;
            }
        }
        return false;
    }

    private boolean isRecordAt(long positionBytes) throws IOException {
        Optional<LogRecord.Header> header = headerAt(positionBytes);
        if (header.isEmpty()) {
            return false;
        }
        CRC32C checksum = header.get().startChecksum();
        long fromBytes = positionBytes + LogRecord.HEADER_BYTES;
        long endBytes = fromBytes + header.get().payloadBytes();
        ByteBuffer part = ByteBuffer.allocate(WINDOW_BYTES);
        while (fromBytes < endBytes) {
            part.clear().limit((int) Math.min(WINDOW_BYTES, endBytes - fromBytes));
            read(part, fromBytes);
            fromBytes += part.limit();
            checksum.update(part.flip());
        }
        return (int) checksum.getValue() == header.get().checksum();
    }

    private Optional<LogRecord.Header> headerAt(long positionBytes) throws IOException {
        long remainingBytes = mLengthBytes - positionBytes - LogRecord.HEADER_BYTES;
        if (remainingBytes < 1) {
            return Optional.empty();
        }
        LogRecord.Header header =
                LogRecord.Header.read(window(positionBytes, LogRecord.HEADER_BYTES));
        boolean isPossible =
                header.payloadBytes() >= 1
                        && header.payloadBytes() <= Math.min(remainingBytes, MAX_PAYLOAD_BYTES);
        return isPossible ? Optional.of(header) : Optional.empty();
    }

    /** Returns the window at this position, after loading it if it has too few of the bytes. */
    private ByteBuffer window(long positionBytes, int neededBytes) throws IOException {
        long offsetBytes = positionBytes - mWindowAtBytes;
        if (offsetBytes < 0 || offsetBytes + neededBytes > mWindow.limit()) {
            mWindow.clear().limit((int) Math.min(WINDOW_BYTES, mLengthBytes - positionBytes));
            read(mWindow, positionBytes);
            mWindow.flip();
            mWindowAtBytes = positionBytes;
        }
        return mWindow.position((int) (positionBytes - mWindowAtBytes));
    }

    /** Fills the rest of the target, whose start is at this position. */
    void read(ByteBuffer target, long positionBytes) throws IOException {
        while (target.hasRemaining()) {
            int readBytes = mChannel.read(target, positionBytes + target.position());
            if (readBytes < 0) {
                throw new IOException("the log file became shorter while it was read");
            }
        }
    }
}
