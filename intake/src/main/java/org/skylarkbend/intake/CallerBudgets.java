package org.skylarkbend.intake;

import com.codahale.metrics.MetricRegistry;
import org.skylarkbend.base.ByteBudget;

/**
 * Accounts of the memory for what callers send.
 *
 * @param heads account of the decoded lines of requests until they have their responses
 * @param bodies account of the bodies of requests
 * @param undecoded account of the bytes that are not decoded yet, which are not on the heap
 */
public record CallerBudgets(ByteBudget heads, ByteBudget bodies, ByteBudget undecoded) {
    /**
     * Part of the heap for lines. A head of 16 KiB counts with up to 1.4 MB if its lines are short,
     * and the usual one with some 8 KB.
     */
    private static final int HEAP_PARTS_OF_HEADS = 8;

    /**
     * Memory for undecoded bytes, as part of the heap. An unread connection counts with up to 64
     * KB.
     */
    private static final int HEAP_PARTS_OF_UNDECODED = 4;

    /**
     * Returns empty accounts in the usual proportions to the heap.
     *
     * @param name prefix of their names
     * @param bodies account of the bodies
     * @param metrics registry of their metrics
     */
    public static CallerBudgets ofHeap(String name, ByteBudget bodies, MetricRegistry metrics) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new CallerBudgets(
                new ByteBudget(name + "_heads", heapBytes / HEAP_PARTS_OF_HEADS, metrics),
                bodies,
                new ByteBudget(name + "_undecoded", heapBytes / HEAP_PARTS_OF_UNDECODED, metrics));
    }
}
