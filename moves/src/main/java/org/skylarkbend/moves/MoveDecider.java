package org.skylarkbend.moves;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.MoveMessage.EndpointsChanged;
import org.skylarkbend.moves.MoveMessage.LoadFailed;
import org.skylarkbend.moves.MoveMessage.Loaded;
import org.skylarkbend.moves.MoveMessage.OutcomesReported;
import org.skylarkbend.moves.MoveMessage.PlansPublished;
import org.skylarkbend.moves.MoveMessage.Restarted;

/**
 * Decides how moves proceed.
 *
 * <p>{@link #decide} derives the next state from a state, a message and the time only: message and
 * time go through the log, so that every control VM reaches the same state. {@link #effects}
 * returns the actions that a state requires; only the commander executes them.
 *
 * <p>A move waits until it has to begin, loads the new version on all endpoints, gives it a trial
 * share, and then larger shares once it is proven not worse than the old version. After the new
 * version has taken over, a small share of the traffic stays with the old version until the
 * monitoring period ends, so that both still meet the same load. A version that proves worse
 * immediately loses its whole share.
 */
public final class MoveDecider {
    private static final String NOT_PROVEN =
            "not proven by the time: too few requests or no clear evidence";
    private static final String NOT_LOADED = "not loaded on any endpoint by the time";

    private MoveDecider() {}

    /** Returns the state after a message. */
    public static MoveState decide(
            MoveState state, MoveMessage message, long nowEpochMilliseconds) {
        MoveState changed = state;
        if (message instanceof PlansPublished published) {
            changed = published(state, published.plans(), nowEpochMilliseconds);
        } else if (message instanceof OutcomesReported reported) {
            changed = state.with(progress -> reported(progress, reported.windows()));
        } else if (message instanceof Loaded loaded) {
            changed = state.with(progress -> loaded(progress, loaded));
        } else if (message instanceof LoadFailed failed) {
            changed = state.with(progress -> loadFailed(progress, failed.endpoint()));
        } else if (message instanceof Restarted restarted) {
            changed = state.with(progress -> withoutLoaded(progress, restarted.endpoint()));
        } else if (message instanceof EndpointsChanged endpoints) {
            changed = state.with(progress -> withEndpoints(progress, endpoints));
        }
        return changed.with(progress -> advance(progress, nowEpochMilliseconds));
    }

    /** Returns the actions that the state requires. */
    public static List<MoveEffect> effects(MoveState state) {
        List<MoveEffect> effects = new ArrayList<>(loads(state));
        for (MoveProgress progress : state.moves().values()) {
            effects.add(share(progress));
            unloads(state, progress).forEach(effects::add);
        }
        return List.copyOf(effects);
    }

    private static MoveState published(
            MoveState state, List<MovePlan> plans, long nowEpochMilliseconds) {
        SortedMap<ObjectName, MoveProgress> moves = new TreeMap<>();
        for (MovePlan plan : plans) {
            MoveProgress known = state.moves().get(plan.move().name());
            boolean isSame = known != null && known.plan().move().equals(plan.move());
            moves.put(
                    plan.move().name(),
                    isSame
                            ? known.withEndpoints(plan, known.loaded())
                            : MoveProgress.published(plan, nowEpochMilliseconds));
        }
        return new MoveState(moves);
    }

    private static MoveProgress reported(MoveProgress progress, List<OutcomeWindow> windows) {
        MoveProgress changed = progress;
        for (OutcomeWindow window : windows) {
            if (window.route().equals(progress.plan().move().route())) {
                changed = reported(changed, window);
            }
        }
        return changed;
    }

    private static MoveProgress reported(MoveProgress progress, OutcomeWindow window) {
        boolean isEvaluated =
                progress.phase() == MovePhase.MOVING || progress.phase() == MovePhase.WATCHING;
        VersionEvaluation evaluation =
                isEvaluated ? progress.evaluation().with(window) : progress.evaluation();
        long requests = window.fromVersion().requests() + window.toVersion().requests();
        return progress.withEvidence(evaluation, progress.observedRequests() + requests);
    }

    private static MoveProgress loaded(MoveProgress progress, Loaded loaded) {
        boolean isRelevant =
                progress.plan().move().toVersion().equals(loaded.version())
                        && progress.plan().endpoints().contains(loaded.endpoint());
        if (!isRelevant) {
            return progress;
        }
        SortedSet<ObjectName> endpoints = new TreeSet<>(progress.loaded());
        endpoints.add(loaded.endpoint());
        return progress.withEndpoints(progress.plan(), endpoints);
    }

    private static MoveProgress loadFailed(MoveProgress progress, ObjectName endpoint) {
        boolean isRelevant =
                needsNewVersion(progress.phase())
                        && progress.plan().endpoints().contains(endpoint)
                        && !progress.loaded().contains(endpoint);
        return isRelevant ? progress.withFailedLoad(endpoint) : progress;
    }

    private static MoveProgress withoutLoaded(MoveProgress progress, ObjectName endpoint) {
        SortedSet<ObjectName> endpoints = new TreeSet<>(progress.loaded());
        endpoints.remove(endpoint);
        return progress.withEndpoints(progress.plan(), endpoints);
    }

    private static MoveProgress withEndpoints(MoveProgress progress, EndpointsChanged changed) {
        if (!progress.plan().move().name().equals(changed.move())) {
            return progress;
        }
        MovePlan plan =
                new MovePlan(
                        progress.plan().move(),
                        changed.endpoints(),
                        progress.plan().loadMilliseconds(),
                        progress.plan().versionsOfOtherRoutes());
        SortedSet<ObjectName> loaded = new TreeSet<>(progress.loaded());
        loaded.retainAll(plan.endpoints());
        return progress.withEndpoints(plan, loaded);
    }

    private static MoveProgress advance(MoveProgress progress, long nowEpochMilliseconds) {
        return switch (progress.phase()) {
            case WAITING -> begun(progress, nowEpochMilliseconds);
            case MOVING -> moved(progress, nowEpochMilliseconds);
            case WATCHING -> watched(progress, nowEpochMilliseconds);
            default -> progress;
        };
    }

    private static MoveProgress begun(MoveProgress progress, long nowEpochMilliseconds) {
        boolean isDue =
                nowEpochMilliseconds
                        >= MoveSchedule.beginAtEpochMilliseconds(progress, nowEpochMilliseconds);
        return isDue ? progress.inPhase(MovePhase.MOVING, "", 0, nowEpochMilliseconds) : progress;
    }

    private static MoveProgress moved(MoveProgress progress, long nowEpochMilliseconds) {
        Optional<String> rollbackReason = progress.evaluation().rollbackReason();
        if (rollbackReason.isPresent()) {
            return progress.inPhase(
                    MovePhase.UNDONE, rollbackReason.get(), 0, nowEpochMilliseconds);
        }
        long completeBy = progress.plan().move().completeByEpochMilliseconds();
        boolean isLate = nowEpochMilliseconds >= completeBy;
        if (isLate && !progress.evaluation().isProven()) {
            String reason = progress.loaded().isEmpty() ? NOT_LOADED : NOT_PROVEN;
            return progress.inPhase(MovePhase.UNDONE, reason, 0, nowEpochMilliseconds);
        }
        return withNextShare(progress, isLate, nowEpochMilliseconds);
    }

    private static MoveProgress withNextShare(
            MoveProgress progress, boolean isLate, long nowEpochMilliseconds) {
        if (progress.loaded().isEmpty()) {
            return progress.share() == 0 ? progress : progress.withShare(0, nowEpochMilliseconds);
        }
        if (progress.share() == 0) {
            return progress.withShare(MoveSchedule.trialShare(progress), nowEpochMilliseconds);
        }
        boolean mayGrow =
                progress.evaluation().isProven()
                        && progress.isLoadedEverywhere()
                        && (isLate || MoveSchedule.isStepComplete(progress, nowEpochMilliseconds));
        if (!mayGrow) {
            return progress;
        }
        if (progress.share() >= 1 - MoveSchedule.BASELINE_SHARE) {
            return progress.inPhase(MovePhase.WATCHING, "", progress.share(), nowEpochMilliseconds);
        }
        return progress.withShare(MoveSchedule.nextShare(progress.share()), nowEpochMilliseconds);
    }

    private static MoveProgress watched(MoveProgress progress, long nowEpochMilliseconds) {
        Optional<String> rollbackReason = progress.evaluation().rollbackReason();
        if (rollbackReason.isPresent()) {
            return progress.inPhase(
                    MovePhase.UNDONE, rollbackReason.get(), 0, nowEpochMilliseconds);
        }
        long watchedMilliseconds = nowEpochMilliseconds - progress.phaseSinceEpochMilliseconds();
        return watchedMilliseconds >= progress.plan().move().watchMilliseconds()
                ? progress.inPhase(MovePhase.DONE, "", 1, nowEpochMilliseconds)
                : progress;
    }

    /**
     * Returns the loads to execute: at most two concurrent ones over all moves, those of the move
     * with the earliest completion time first.
     */
    private static List<MoveEffect> loads(MoveState state) {
        return state.moves().values().stream()
                .filter(progress -> needsNewVersion(progress.phase()))
                .sorted(Comparator.comparingLong(MoveDecider::completeBy))
                .flatMap(progress -> unloaded(progress).map(name -> load(progress, name)))
                .limit(MoveSchedule.MAX_CONCURRENT_LOADS)
                .toList();
    }

    /**
     * Returns the endpoints that have not loaded the new version. Those whose load has failed come
     * last.
     */
    private static Stream<ObjectName> unloaded(MoveProgress progress) {
        return progress.plan().endpoints().stream()
                .filter(name -> !progress.loaded().contains(name))
                .sorted(Comparator.comparing(name -> progress.failedLoads().contains(name)));
    }

    private static long completeBy(MoveProgress progress) {
        return progress.plan().move().completeByEpochMilliseconds();
    }

    private static boolean needsNewVersion(MovePhase phase) {
        return phase != MovePhase.WAITING && phase != MovePhase.UNDONE;
    }

    private static MoveEffect load(MoveProgress progress, ObjectName endpoint) {
        return new MoveEffect.Load(endpoint, progress.plan().move().toVersion());
    }

    private static MoveEffect share(MoveProgress progress) {
        return new MoveEffect.Share(
                progress.plan().move().route(),
                progress.plan().move().fromVersion(),
                progress.plan().move().toVersion(),
                progress.share());
    }

    private static List<MoveEffect> unloads(MoveState state, MoveProgress progress) {
        if (!progress.phase().isFinal()) {
            return List.of();
        }
        ObjectName unwanted =
                progress.phase() == MovePhase.DONE
                        ? progress.plan().move().fromVersion()
                        : progress.plan().move().toVersion();
        return progress.plan().endpoints().stream()
                .filter(endpoint -> !isNeeded(state, endpoint, unwanted))
                .map(endpoint -> (MoveEffect) new MoveEffect.Unload(endpoint, unwanted))
                .toList();
    }

    /** Returns whether a route or move uses a version on an endpoint. */
    private static boolean isNeeded(MoveState state, ObjectName endpoint, ObjectName version) {
        return state.moves().values().stream()
                .filter(progress -> progress.plan().endpoints().contains(endpoint))
                .anyMatch(progress -> uses(progress, version));
    }

    private static boolean uses(MoveProgress progress, ObjectName version) {
        boolean usesTo =
                needsNewVersion(progress.phase())
                        && progress.plan().move().toVersion().equals(version);
        boolean usesFrom =
                progress.phase() != MovePhase.DONE
                        && progress.plan().move().fromVersion().equals(version);
        return usesTo || usesFrom || progress.plan().versionsOfOtherRoutes().contains(version);
    }
}
