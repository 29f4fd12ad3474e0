package org.skylarkbend.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.ObjLongConsumer;

/**
 * Hands messages to a decider one at a time. A message that an effect causes is decided on after
 * all effects of the decision before it, so that the newest decision has the last word, for example
 * on the time of the only timer. Confined to the task that owns the decider.
 */
public final class LimitShareInbox {
    private final LimitShareDecider mDecider;
    private final ObjLongConsumer<LimitShareEffect> mEffects;
    private final Deque<Pending> mPending = new ArrayDeque<>();
    private boolean mDeciding;

    private record Pending(LimitShareMessage message, long nowMilliseconds) {}

    /**
     * Creates an empty inbox.
     *
     * @param decider decides on the messages
     * @param effects executes an effect, at the time of the message
     */
    public LimitShareInbox(LimitShareDecider decider, ObjLongConsumer<LimitShareEffect> effects) {
        mDecider = decider;
        mEffects = effects;
    }

    /** Decides on a message, at once unless an effect is being executed. */
    public void handle(LimitShareMessage message, long nowMilliseconds) {
        mPending.add(new Pending(message, nowMilliseconds));
        if (mDeciding) {
            return;
        }
        mDeciding = true;
        try {
            while (!mPending.isEmpty()) {
                decide(mPending.poll());
            }
        } finally {
            mDeciding = false;
        }
    }

    private void decide(Pending next) {
        List.copyOf(mDecider.decide(next.message(), next.nowMilliseconds()))
                .forEach(effect -> mEffects.accept(effect, next.nowMilliseconds()));
    }
}
