package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.skylarkbend.agreement.AgreementEffect.Send;

/**
 * The messages that wait for the disk, in order. If it hangs, the oldest are dropped as a network
 * would drop them; the other members have given up on them by then.
 */
final class PendingSends {
    /** More than a healthy member ever has, and little memory, as bulk messages do not wait. */
    static final int MAX_SENDS = 1_000;

    private final Deque<Send> mSends = new ArrayDeque<>();

    void add(Send send) {
        if (mSends.size() == MAX_SENDS) {
            mSends.poll();
        }
        mSends.add(send);
    }

    /** Passes on the messages that wait for writes up to this number. */
    void sendReady(long syncedNumber, Consumer<Send> sender) {
        while (!mSends.isEmpty() && mSends.peek().afterPersist() <= syncedNumber) {
            sender.accept(mSends.poll());
        }
    }

    void clear() {
        mSends.clear();
    }
}
