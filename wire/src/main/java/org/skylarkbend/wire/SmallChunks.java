package org.skylarkbend.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins decoded chunks of a body: each of them takes a server more time and memory than its bytes
 * do.
 */
final class SmallChunks {
    private static final int SMALL_BYTES = 1024;

    private SmallChunks() {}

    /**
     * Replaces runs of small chunks by one chunk each.
     *
     * @param allocator allocates the joined chunks
     * @param decoded decoded parts of a message
     * @param from index of the first part that may be joined
     */
    static void join(ByteBufAllocator allocator, List<Object> decoded, int from) {
        if (decoded.size() - from < 2) {
            return;
        }
        List<Object> parts = decoded.subList(from, decoded.size());
        List<Object> joined = new ArrayList<>();
        ByteBuf run = null;
        for (Object part : parts) {
            if (isSmall(part)) {
                run = run == null ? allocator.buffer(SMALL_BYTES) : run;
                HttpContent chunk = (HttpContent) part;
                run.writeBytes(chunk.content());
                chunk.release();
            } else {
                run = end(run, joined);
                joined.add(part);
            }
        }
        end(run, joined);
        parts.clear();
        decoded.addAll(joined);
    }

    private static ByteBuf end(ByteBuf run, List<Object> joined) {
        if (run != null) {
            joined.add(new DefaultHttpContent(run));
        }
        return null;
    }

    private static boolean isSmall(Object part) {
        return part instanceof HttpContent chunk
                && !(part instanceof LastHttpContent)
                && chunk.decoderResult().isSuccess()
                && chunk.content().readableBytes() <= SMALL_BYTES;
    }
}
