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
import org.skylarkbend.orders.weights.WeightsEffect.AskReport;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsEffect.LoadingChanged;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.Answered;
import org.skylarkbend.orders.weights.WeightsMessage.Engine;
import org.skylarkbend.orders.weights.WeightsMessage.Listed;
import org.skylarkbend.orders.weights.WeightsMessage.LostCommand;
import org.skylarkbend.orders.weights.WeightsMessage.Named;
import org.skylarkbend.orders.weights.WeightsMessage.ReportFailed;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;
import org.skylarkbend.orders.weights.WeightsMessage.TookCommand;

/**
 * Decides which engine loads which weights when.
 *
 * <p>Every order names the number of orders that the engine has accepted before. An order whose
 * answer was lost can then not be carried out after a later one. After an order without an answer
 * the engine is asked what it has before it gets the next.
 *
 * <p>Each order is announced to all control VMs before it is given. A new commander leaves those
 * engines alone that another may have ordered within the lease. The state belongs to one task.
 */
public final class WeightsDecider {
    /** How soon after an accepted order an engine is asked whether it is done. */
    static final long FIRST_QUESTION_MILLISECONDS = 500;

    /** How often it is asked from then on, and after a failure. */
    static final long QUESTION_MILLISECONDS = 150;

    /** An engine that did not answer is asked again after so long. */
    static final long UNREACHED_MILLISECONDS = 700;

    /** An order turns away the calls in an engine's queue, so the queue may empty for so long. */
    static final long MOST_QUEUE_MILLISECONDS = 1_500;

    /** Loads slow one another down when more than two in seven engines load (users' sheets). */
    private static final int LOADING_SHARE = 2;

    private static final int LOADING_DIVISOR = 7;
    private static final int LEAST_AT_ONCE = 2;
    private static final long NEVER_MILLISECONDS = Long.MIN_VALUE / 2;

    private final long mTakeoverMilliseconds;
    private final Map<String, EngineLoad> mEngines = new TreeMap<>();
    private Map<String, Long> mNamed = Map.of();
    private OptionalLong mFencingNumber = OptionalLong.empty();
    private final Map<String, Long> mAnnouncedMilliseconds = new HashMap<>();

    /**
     * A commander without command.
     *
     * @param takeoverMilliseconds how long an engine is left alone after another commander may have
     *     ordered it
     */
    public WeightsDecider(long takeoverMilliseconds) {
        mTakeoverMilliseconds = takeoverMilliseconds;
    }

    /** Takes one message. */
    public List<WeightsEffect> decide(WeightsMessage message, long nowMilliseconds) {
        List<WeightsEffect> effects = new ArrayList<>();
        Set<String> loadingBefore = loading();
        take(message, nowMilliseconds);
        if (mFencingNumber.isPresent()) {
            startMore(nowMilliseconds);
            for (String engine : List.copyOf(mEngines.keySet())) {
                advance(engine, nowMilliseconds, effects);
            }
        }
        if (!loading().equals(loadingBefore) || message instanceof Reported) {
            effects.add(new LoadingChanged());
        }
        return effects;
    }

    /** Whether no other commander can have ordered an engine within the lease. */
    public boolean mayOrder(String engine, long nowMilliseconds) {
        long announcedMilliseconds =
                mAnnouncedMilliseconds.getOrDefault(engine, NEVER_MILLISECONDS);
        return nowMilliseconds >= announcedMilliseconds + mTakeoverMilliseconds;
    }

    /** The engines that load weights now, or may. */
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

    /** The newest versions that an engine is known to have. */
    public Map<String, Long> weightsOf(String engine) {
        EngineLoad load = mEngines.get(engine);
        if (load == null) {
            return Map.of();
        }
        Map<String, Long> versions = new HashMap<>();
        load.listed().keySet().forEach(model -> versions.put(model, load.version(model)));
        return versions;
    }

    private void take(WeightsMessage message, long nowMilliseconds) {
        if (message instanceof TookCommand took) {
            mFencingNumber = OptionalLong.of(took.fencingNumber());
            mEngines.replaceAll((engine, load) -> EngineLoad.met(load.listed()));
        } else if (message instanceof Announced announced) {
            if (!mFencingNumber.equals(OptionalLong.of(announced.fencingNumber()))) {
                mAnnouncedMilliseconds.put(announced.engine(), nowMilliseconds);
            }
        } else if (message instanceof LostCommand) {
            mFencingNumber = OptionalLong.empty();
            mEngines.replaceAll((engine, load) -> EngineLoad.met(load.listed()));
        } else if (message instanceof Named named) {
            mNamed = named.versions();
        } else if (message instanceof Listed listed) {
            list(listed.engines(), nowMilliseconds);
        } else if (message instanceof Reported reported) {
            mEngines.computeIfPresent(
                    reported.engine(), (engine, load) -> reported(load, reported, nowMilliseconds));
        } else if (message instanceof ReportFailed failed) {
            mEngines.computeIfPresent(
                    failed.engine(),
                    (engine, load) -> load.unreached(nowMilliseconds, UNREACHED_MILLISECONDS));
        } else if (message instanceof Answered answered) {
            answered(answered, nowMilliseconds);
        }
    }

    private void list(List<Engine> engines, long nowMilliseconds) {
        Set<String> present = new HashSet<>();
        for (Engine engine : engines) {
            present.add(engine.incarnation());
            mEngines.merge(
                    engine.incarnation(),
                    EngineLoad.met(engine.weights()),
                    (known, met) -> known.listedAs(engine.weights()));
        }
        mEngines.keySet().retainAll(present);
        mAnnouncedMilliseconds
                .values()
                .removeIf(at -> at + mTakeoverMilliseconds < nowMilliseconds);
    }

    private EngineLoad reported(EngineLoad load, Reported reported, long nowMilliseconds) {
        EngineLoad next = load.reported(reported.weights(), reported.acceptedOrders());
        if (reported.busy()) {
            return next.uncounted(nowMilliseconds + QUESTION_MILLISECONDS);
        }
        boolean isBack = load.misses() > 0;
        boolean mayEmptyQueue =
                nowMilliseconds < load.takenAtMilliseconds() + MOST_QUEUE_MILLISECONDS;
        if (wanted(next).isPresent() && reported.queuedCalls() > 0 && mayEmptyQueue && !isBack) {
            return next.uncounted(nowMilliseconds + QUESTION_MILLISECONDS);
        }
        if (wanted(next).isPresent() && !isBack) {
            return next.at(Step.CHECKING, nowMilliseconds);
        }
        return next.at(Step.IDLE, nowMilliseconds);
    }

    private void answered(Answered answered, long nowMilliseconds) {
        EngineLoad load = mEngines.get(answered.engine());
        if (load == null || load.step() != Step.ORDERED) {
            return;
        }
        if (answered.answer() == LoadAnswer.FENCED) {
            mFencingNumber = OptionalLong.empty();
        }
        boolean accepted = answered.answer() == LoadAnswer.ACCEPTED;
        EngineLoad next =
                load.uncounted(
                        nowMilliseconds
                                + (accepted ? FIRST_QUESTION_MILLISECONDS : QUESTION_MILLISECONDS));
        mEngines.put(answered.engine(), next);
    }

    /**
     * Takes in some of the engines, the most outdated first, while the others take all new calls.
     * They let their runs finish before they load, so that fewer load at the same moment. An engine
     * that did not answer is only asked, beside them, until it does.
     */
    private void startMore(long nowMilliseconds) {
        int atOnce = Math.max(LEAST_AT_ONCE, mEngines.size() * LOADING_SHARE / LOADING_DIVISOR);
        int free = atOnce - loading().size();
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
            if (load.misses() > 0 || free > 0) {
                mEngines.put(engine, load.taken(nowMilliseconds));
                free -= load.misses() > 0 ? 0 : 1;
            }
        }
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
                            mNamed.get(model.get()),
                            mFencingNumber.getAsLong(),
                            load.acceptedOrders().getAsLong()));
        } else {
            mEngines.put(engine, load.at(Step.ASKED, nowMilliseconds));
            effects.add(new AskReport(engine));
        }
    }

    private Optional<String> wanted(EngineLoad load) {
        return load.listed().keySet().stream()
                .filter(model -> mNamed.getOrDefault(model, 0L) > load.version(model))
                .findFirst();
    }
}
