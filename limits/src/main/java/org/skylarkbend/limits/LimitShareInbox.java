package org.skylarkbend.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.ObjLongConsumer;

/**
 * Hands messages to a decider one at a time. A message that an effect causes is decided on after
 * all effects of the decision before it, so that the newest decision has the last word, for example
 * on the time of the only timer. An effect that throws does not keep the others from being
 * executed. Confined to the task that owns the decider.
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

    /**
     * Decides on a message, at once unless an effect is being executed.
     *
     * @throws RuntimeException the first exception, with later ones suppressed, after all messages
     *     and effects have been handled
     */
    public void handle(LimitShareMessage message, long nowMilliseconds) {
        mPending.add(new Pending(message, nowMilliseconds));
        if (mDeciding) {
            return;
        }
        mDeciding = true;
        List<RuntimeException> failures = new ArrayList<>();
        try {
            while (!mPending.isEmpty()) {
                decide(mPending.poll(), failures);
            }
        } finally {
            mDeciding = false;
        }
        if (!failures.isEmpty()) {
            RuntimeException first = failures.get(0);
            failures.stream().filter(other -> other != first).forEach(first::addSuppressed);
            throw first;
        }
    }

    private void decide(Pending next, List<RuntimeException> failures) {
        long nowMilliseconds = next.nowMilliseconds();
        attempt(
                () ->
                        List.copyOf(mDecider.decide(next.message(), nowMilliseconds))
                                .forEach(effect -> execute(effect, nowMilliseconds, failures)),
                failures);
    }

    private void execute(
            LimitShareEffect effect, long nowMilliseconds, List<RuntimeException> failures) {
        attempt(() -> mEffects.accept(effect, nowMilliseconds), failures);
    }

    private static void attempt(Runnable action, List<RuntimeException> failures) {
        try {
            action.run();
        } catch (RuntimeException e) {
            failures.add(e);
        }
    }
}
