package org.skylarkbend.agreement;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** Writes a buffer at the position of a channel. Tests substitute a failing disk. */
@FunctionalInterface
public interface ChannelWriter {
    /** Writes all bytes, or throws after writing none or some of them. */
    void write(FileChannel channel, ByteBuffer bytes) throws IOException;

    /** Returns an implementation that writes directly to the channel. */
    static ChannelWriter direct() {
        return (channel, bytes) -> {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        };
    }
}
