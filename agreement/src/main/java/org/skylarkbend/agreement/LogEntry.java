package org.skylarkbend.agreement;

import org.skylarkbend.agreement.EntryContent.Command;

/**
 * One entry of the log.
 *
 * @param index its position, starting at 1
 * @param term the term of the leader that appended it
 * @param content its content
 */
public record LogEntry(long index, long term, EntryContent content) {
    private static final int OVERHEAD_BYTES = 64;

    /** Returns the approximate size of the entry in memory and on disk. */
    public long sizeBytes() {
        return content instanceof Command command
                ? OVERHEAD_BYTES + command.lengthBytes()
                : OVERHEAD_BYTES;
    }
}
