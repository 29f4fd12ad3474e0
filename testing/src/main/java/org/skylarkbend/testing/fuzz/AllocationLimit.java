package org.skylarkbend.testing.fuzz;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * A limit on the bytes that a decoder may allocate for an input, which shows lengths that are
 * believed without check and work that grows faster than the input, on any machine.
 */
final class AllocationLimit {
    /** For what is allocated once, such as the buffers of a library. */
    private static final long FIXED_BYTES = 8L * 1024 * 1024;

    private static final long PER_INPUT_BYTE = 2_000;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private AllocationLimit() {}

    /**
     * Runs a check. It fails if it allocates too much twice, since classes are loaded only once.
     */
    static boolean check(FuzzCheck check, byte[] input) throws Exception {
        long maxBytes = FIXED_BYTES + PER_INPUT_BYTE * input.length;
        long before = THREADS.getCurrentThreadAllocatedBytes();
        boolean accepted = check.accepts(input);
        if (allocatedSince(before) > maxBytes) {
            long beforeAgain = THREADS.getCurrentThreadAllocatedBytes();
            check.accepts(input);
            requireAtMost(maxBytes, allocatedSince(beforeAgain));
        }
        return accepted;
    }

    private static long allocatedSince(long before) {
        return THREADS.getCurrentThreadAllocatedBytes() - before;
    }

    private static void requireAtMost(long maxBytes, long allocatedBytes) {
        if (allocatedBytes > maxBytes) {
            throw new AssertionError(
                    allocatedBytes + " bytes were allocated; the limit is " + maxBytes);
        }
    }
}
