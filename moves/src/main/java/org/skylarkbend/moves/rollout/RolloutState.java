package org.skylarkbend.moves.rollout;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;

/**
 * The latest rollout of each service. This is a value: the same messages result in the same state
 * on every control VM.
 */
public record RolloutState(SortedMap<String, Rollout> rollouts) {
    /**
     * The time after the end of a rollout during which another order of the same version counts as
     * a repetition of the order and not as a new one.
     */
    static final long REPEAT_MILLISECONDS = 60_000;

    /** Copies the rollouts. */
    public RolloutState {
        rollouts = Collections.unmodifiableSortedMap(new TreeMap<>(rollouts));
    }

    /** Returns a state without rollouts. */
    public static RolloutState empty() {
        return new RolloutState(new TreeMap<>());
    }

    /** Returns the latest rollout of a service. */
    public Optional<Rollout> of(String service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    /**
     * Returns the state after a message. Fails with {@code REVISION_CONFLICT} if another version of
     * the service is being brought in.
     */
    public Result<RolloutState> after(RolloutMessage message, long nowEpochMilliseconds) {
        if (message instanceof RolloutMessage.Ordered order) {
            return ordered(order, nowEpochMilliseconds);
        }
        return Result.success(advanced((RolloutMessage.Advanced) message, nowEpochMilliseconds));
    }

    private Result<RolloutState> ordered(RolloutMessage.Ordered order, long nowEpochMilliseconds) {
        Rollout known = rollouts.get(order.service());
        if (known != null && isRepeated(known, order, nowEpochMilliseconds)) {
            return Result.success(this);
        }
        if (known != null && !known.phase().isFinal()) {
            return Result.failure(
                    ErrorKind.REVISION_CONFLICT,
                    "version " + known.version() + " is being brought in");
        }
        return Result.success(with(Rollout.ordered(order, nowEpochMilliseconds)));
    }

    private static boolean isRepeated(
            Rollout known, RolloutMessage.Ordered order, long nowEpochMilliseconds) {
        long endedMilliseconds = nowEpochMilliseconds - known.changedEpochMilliseconds();
        return known.version().equals(order.version())
                && (!known.phase().isFinal() || endedMilliseconds < REPEAT_MILLISECONDS);
    }

    private RolloutState advanced(RolloutMessage.Advanced advance, long nowEpochMilliseconds) {
        Rollout known = rollouts.get(advance.service());
        boolean isCurrent =
                known != null
                        && known.version().equals(advance.version())
                        && !known.phase().isFinal()
                        && known.phase() != advance.phase();
        return isCurrent ? with(known.advanced(advance, nowEpochMilliseconds)) : this;
    }

    private RolloutState with(Rollout rollout) {
        SortedMap<String, Rollout> changed = new TreeMap<>(rollouts);
        changed.put(rollout.service(), rollout);
        return new RolloutState(changed);
    }
}
