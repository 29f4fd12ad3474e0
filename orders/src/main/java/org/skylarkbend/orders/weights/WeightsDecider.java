package org.skylarkbend.orders.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.skylarkbend.orders.weights.EngineLoad.Step;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsEffect.LoadingChanged;
import org.skylarkbend.orders.weights.WeightsEffect.RequestReport;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.CommandLost;
import org.skylarkbend.orders.weights.WeightsMessage.CommandTaken;
import org.skylarkbend.orders.weights.WeightsMessage.Engine;
import org.skylarkbend.orders.weights.WeightsMessage.EnginesListed;
import org.skylarkbend.orders.weights.WeightsMessage.OrderCompleted;
import org.skylarkbend.orders.weights.WeightsMessage.ReportFailed;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;
import org.skylarkbend.orders.weights.WeightsMessage.TargetVersionsChanged;

/**
 * Decides which engine loads which weights, and when.
 *
 * <p>Every order contains the number of orders that the engine has accepted before. An order whose
 * response was lost therefore cannot be executed after a later one. After an unanswered order, the
 * engine must report its state before the next order is sent.
 *
 * <p>Each order is announced to all control VMs before it is sent. A new commander sends no orders
 * to engines that another commander may have ordered within the lease. The state is confined to one
 * task.
 */
public final class WeightsDecider {
    /** Time between an accepted order and the first poll for its completion. */
    static final long FIRST_POLL_MILLISECONDS = 500;

    /** Poll interval after the first poll, and after a failure. */
    static final long POLL_INTERVAL_MILLISECONDS = 150;

    /**
     * Delay until an engine is polled again that is unreachable or has refused an order; it doubles
     * with further failures, up to a limit.
     */
    static final long MIN_UNREACHABLE_RETRY_MILLISECONDS = 700;

    /**
     * Maximum time to wait for the queue of an engine to drain before an order, which rejects the
     * queued calls.
     */
    static final long MAX_QUEUE_DRAIN_MILLISECONDS = 1_500;

    /**
     * Numerator of the maximum fraction of engines that load concurrently. Loads slow one another
     * down when more than two in seven engines load.
     */
    private static final int MAX_LOADING_NUMERATOR = 2;

    private static final int MAX_LOADING_DENOMINATOR = 7;
    private static final int MIN_CONCURRENT_LOADS = 2;
    private static final long NEVER_MILLISECONDS = Long.MIN_VALUE / 2;

    /**
     * Fraction of the time for which old weights may be used after which their engines load beyond
     * the usual number, so that they are done before they can serve no more calls.
     */
    private static final double URGENT_AGE_RATIO = 0.7;

    private static final int URGENT_LOADING_DENOMINATOR = 2;

    private final long mTakeoverWaitMilliseconds;
    private final long mOldWeightsMilliseconds;
    private final Map<String, TreeMap<Long, Long>> mTargetedMilliseconds = new HashMap<>();
    private final Map<String, EngineLoad> mEngines = new TreeMap<>();
    private Map<String, Long> mTargetVersions = Map.of();
    private OptionalLong mFencingNumber = OptionalLong.empty();
    private final Map<String, Long> mAnnouncedMilliseconds = new HashMap<>();

    /**
     * Creates a decider that is not in command.
     *
     * @param takeoverWaitMilliseconds the time for which no order is sent to an engine after
     *     another commander may have ordered it
     * @param oldWeightsMilliseconds the time for which calls may still use old weights after newer
     *     ones were named
     */
    public WeightsDecider(long takeoverWaitMilliseconds, long oldWeightsMilliseconds) {
        mTakeoverWaitMilliseconds = takeoverWaitMilliseconds;
        mOldWeightsMilliseconds = oldWeightsMilliseconds;
    }

    /** Processes a message and returns the effects to execute. */
    public List<WeightsEffect> decide(WeightsMessage message, long nowMilliseconds) {
        List<WeightsEffect> effects = new ArrayList<>();
        Set<String> loadingBefore = loading();
        apply(message, nowMilliseconds);
        if (mFencingNumber.isPresent()) {
            startLoads(nowMilliseconds);
            for (String engine : List.copyOf(mEngines.keySet())) {
                advance(engine, nowMilliseconds, effects);
            }
        }
        if (!loading().equals(loadingBefore) || message instanceof Reported) {
            effects.add(new LoadingChanged());
        }
        return effects;
    }

    /** Returns whether no other commander can have ordered the engine within the lease. */
    public boolean mayOrder(String engine, long nowMilliseconds) {
        long announcedMilliseconds =
                mAnnouncedMilliseconds.getOrDefault(engine, NEVER_MILLISECONDS);
        return nowMilliseconds >= announcedMilliseconds + mTakeoverWaitMilliseconds;
    }

    /** Returns the engines that are loading weights or may be. */
    public Set<String> loading() {
        Set<String> loading = new HashSet<>();
        mEngines.forEach(
                (engine, load) -> {
                    if (load.isLoading()) {
                        loading.add(engine);
                    }
                });
        return loading;
    }

    /** Returns the newest versions that an engine is known to have. */
    public Map<String, Long> weightsOf(String engine) {
        EngineLoad load = mEngines.get(engine);
        if (load == null) {
            return Map.of();
        }
        Map<String, Long> versions = new HashMap<>();
        load.listed().keySet().forEach(model -> versions.put(model, load.version(model)));
        return versions;
    }

    private void apply(WeightsMessage message, long nowMilliseconds) {
        if (message instanceof CommandTaken taken) {
            mFencingNumber = OptionalLong.of(taken.fencingNumber());
            mEngines.replaceAll((engine, load) -> EngineLoad.initial(load.listed()));
        } else if (message instanceof Announced announced) {
            if (!mFencingNumber.equals(OptionalLong.of(announced.fencingNumber()))) {
                mAnnouncedMilliseconds.put(announced.engine(), nowMilliseconds);
            }
        } else if (message instanceof CommandLost) {
            mFencingNumber = OptionalLong.empty();
            mEngines.replaceAll((engine, load) -> EngineLoad.initial(load.listed()));
        } else if (message instanceof TargetVersionsChanged changed) {
            mTargetVersions = changed.versions();
            changed.versions()
                    .forEach(
                            (model, version) ->
                                    mTargetedMilliseconds
                                            .computeIfAbsent(model, name -> new TreeMap<>())
                                            .putIfAbsent(version, nowMilliseconds));
        } else if (message instanceof EnginesListed listed) {
            list(listed.engines(), nowMilliseconds);
        } else if (message instanceof Reported reported) {
            mEngines.computeIfPresent(
                    reported.engine(), (engine, load) -> reported(load, reported, nowMilliseconds));
        } else if (message instanceof ReportFailed failed) {
            mEngines.computeIfPresent(
                    failed.engine(),
                    (engine, load) ->
                            load.unreachable(
                                    nowMilliseconds,
                                    Math.max(
                                            MIN_UNREACHABLE_RETRY_MILLISECONDS,
                                            failed.retryAfterMilliseconds())));
        } else if (message instanceof OrderCompleted completed) {
            completed(completed, nowMilliseconds);
        }
    }

    private void list(List<Engine> engines, long nowMilliseconds) {
        Set<String> present = new HashSet<>();
        for (Engine engine : engines) {
            present.add(engine.incarnation());
            mEngines.merge(
                    engine.incarnation(),
                    EngineLoad.initial(engine.weights()),
                    (known, initial) -> known.listedAs(engine.weights()));
        }
        mEngines.keySet().retainAll(present);
        mAnnouncedMilliseconds
                .values()
                .removeIf(at -> at + mTakeoverWaitMilliseconds < nowMilliseconds);
    }

    private EngineLoad reported(EngineLoad load, Reported reported, long nowMilliseconds) {
        EngineLoad next = load.reported(reported.weights(), reported.acceptedOrders());
        if (reported.busy()) {
            return next.withUnknownOrderCount(nowMilliseconds + POLL_INTERVAL_MILLISECONDS);
        }
        boolean isRecovered = load.missedReports() > 0;
        boolean mayDrainQueue =
                nowMilliseconds < load.startedAtMilliseconds() + MAX_QUEUE_DRAIN_MILLISECONDS;
        if (wanted(next).isPresent()
                && reported.queuedCalls() > 0
                && mayDrainQueue
                && !isRecovered) {
            return next.withUnknownOrderCount(nowMilliseconds + POLL_INTERVAL_MILLISECONDS);
        }
        if (wanted(next).isPresent() && !isRecovered) {
            return next.at(Step.CHECKING, nowMilliseconds);
        }
        return next.at(Step.IDLE, nowMilliseconds);
    }

    private void completed(OrderCompleted completed, long nowMilliseconds) {
        EngineLoad load = mEngines.get(completed.engine());
        if (load == null || load.step() != Step.ORDERED) {
            return;
        }
        if (completed.answer() == LoadAnswer.FENCED) {
            mFencingNumber = OptionalLong.empty();
        }
        if (completed.answer() == LoadAnswer.REFUSED) {
            // Its place goes to others, which it would keep waiting if it refuses every order.
            mEngines.put(
                    completed.engine(),
                    load.unreachable(nowMilliseconds, MIN_UNREACHABLE_RETRY_MILLISECONDS));
            return;
        }
        boolean accepted = completed.answer() == LoadAnswer.ACCEPTED;
        EngineLoad next =
                load.withUnknownOrderCount(
                        nowMilliseconds
                                + (accepted
                                        ? FIRST_POLL_MILLISECONDS
                                        : POLL_INTERVAL_MILLISECONDS));
        mEngines.put(completed.engine(), next);
    }

    /**
     * Starts the load procedure on some of the engines, the most outdated first, while the others
     * receive all new calls. The started engines finish their running calls before they load, so
     * that fewer load at the same moment. An unreachable engine is only polled until it responds
     * and takes no place from the others. Engines whose weights expire soon load beyond the usual
     * number, and those whose weights have expired at once, because they serve no calls any more.
     */
    private void startLoads(long nowMilliseconds) {
        int maxConcurrentLoads =
                Math.max(
                        MIN_CONCURRENT_LOADS,
                        mEngines.size() * MAX_LOADING_NUMERATOR / MAX_LOADING_DENOMINATOR);
        int loading = loading().size();
        int freePlaces = maxConcurrentLoads - loading;
        int freeUrgentPlaces =
                Math.max(maxConcurrentLoads, mEngines.size() / URGENT_LOADING_DENOMINATOR)
                        - loading;
        List<String> outdated = new ArrayList<>();
        mEngines.forEach(
                (engine, load) -> {
                    boolean isDue =
                            nowMilliseconds >= load.nextAtMilliseconds()
                                    && mayOrder(engine, nowMilliseconds);
                    if (load.step() == Step.IDLE && isDue && wanted(load).isPresent()) {
                        outdated.add(engine);
                    }
                });
        outdated.sort(Comparator.comparing(engine -> oldestVersion(mEngines.get(engine))));
        for (String engine : outdated) {
            EngineLoad load = mEngines.get(engine);
            double age = ageRatio(load, nowMilliseconds);
            boolean takesNoPlace = load.missedReports() > 0 || age >= 1;
            boolean isUrgent = age >= URGENT_AGE_RATIO && freeUrgentPlaces > 0;
            if (takesNoPlace || freePlaces > 0 || isUrgent) {
                mEngines.put(engine, load.started(nowMilliseconds));
                freePlaces -= takesNoPlace ? 0 : 1;
                freeUrgentPlaces -= takesNoPlace ? 0 : 1;
            }
        }
    }

    /**
     * Returns how much of the time for which its weights may still be used has passed, over the
     * model for which it is the most; 1 if they have expired.
     */
    private double ageRatio(EngineLoad load, long nowMilliseconds) {
        double ratio = 0;
        for (String model : load.listed().keySet()) {
            Map.Entry<Long, Long> newer =
                    mTargetedMilliseconds
                            .getOrDefault(model, new TreeMap<>())
                            .higherEntry(load.version(model));
            if (newer != null) {
                long ageMilliseconds = nowMilliseconds - newer.getValue();
                ratio = Math.max(ratio, (double) ageMilliseconds / mOldWeightsMilliseconds);
            }
        }
        return ratio;
    }

    private static long oldestVersion(EngineLoad load) {
        return load.listed().keySet().stream().mapToLong(load::version).min().orElse(0);
    }

    private void advance(String engine, long nowMilliseconds, List<WeightsEffect> effects) {
        EngineLoad load = mEngines.get(engine);
        if (load.step() != Step.CHECKING || nowMilliseconds < load.nextAtMilliseconds()) {
            return;
        }
        Optional<String> model = wanted(load);
        if (model.isPresent() && load.acceptedOrders().isPresent()) {
            mEngines.put(engine, load.at(Step.ORDERED, nowMilliseconds));
            effects.add(
                    new Load(
                            engine,
                            model.get(),
                            mTargetVersions.get(model.get()),
                            mFencingNumber.getAsLong(),
                            load.acceptedOrders().getAsLong()));
        } else {
            mEngines.put(engine, load.at(Step.ASKED, nowMilliseconds));
            effects.add(new RequestReport(engine));
        }
    }

    private Optional<String> wanted(EngineLoad load) {
        return load.listed().keySet().stream()
                .filter(model -> mTargetVersions.getOrDefault(model, 0L) > load.version(model))
                .findFirst();
    }
}
