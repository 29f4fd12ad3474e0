package org.skylarkbend.placement.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Chooses the cheapest of a few candidates drawn at random.
 *
 * <p>Routers that share a pool learn of one another's calls late. If each of them takes the
 * candidate that looks cheapest, all take the same one until they hear of it. The cheaper one of
 * two candidates drawn at random spreads their calls nearly as evenly as current knowledge would.
 */
public final class SampledChoice {
    /** Number of candidates that are drawn; more of them bring the collisions back. */
    private static final int DRAWN = 2;

    private final DoubleSupplier mRandom;

    /**
     * Creates a choice.
     *
     * @param random source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public SampledChoice(DoubleSupplier random) {
        mRandom = random;
    }

    /**
     * Chooses among candidates.
     *
     * @param candidates all candidates
     * @param preferred matches those of which two are drawn besides two others, such as those that
     *     have a prompt in their cache
     * @param cost cost of a candidate
     * @param maxCost candidates above this cost are drawn only if there are no others
     * @param <T> type of the candidates
     * @return the choice; empty if all costs are infinite
     */
    public <T> Optional<T> of(
            List<T> candidates, Predicate<T> preferred, ToDoubleFunction<T> cost, double maxCost) {
        List<Priced<T>> sound = new ArrayList<>();
        List<Priced<T>> others = new ArrayList<>();
        for (T candidate : candidates) {
            Priced<T> priced = new Priced<>(candidate, cost.applyAsDouble(candidate));
            if (priced.cost() < maxCost) {
                sound.add(priced);
            } else if (priced.cost() < Double.POSITIVE_INFINITY) {
                others.add(priced);
            }
        }
        return cheapestDrawn(sound.isEmpty() ? others : sound, preferred);
    }

    private record Priced<T>(T candidate, double cost) {}

    private <T> Optional<T> cheapestDrawn(List<Priced<T>> candidates, Predicate<T> preferred) {
        Map<Boolean, List<Priced<T>>> byPreference =
                candidates.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        priced -> preferred.test(priced.candidate())));
        return Stream.concat(
                        draw(byPreference.get(true)).stream(),
                        draw(byPreference.get(false)).stream())
                .min(Comparator.comparingDouble(Priced::cost))
                .map(Priced::candidate);
    }

    private <T> List<Priced<T>> draw(List<Priced<T>> candidates) {
        List<Priced<T>> left = new ArrayList<>(candidates);
        List<Priced<T>> drawn = new ArrayList<>();
        while (drawn.size() < DRAWN && !left.isEmpty()) {
            drawn.add(left.remove((int) (mRandom.getAsDouble() * left.size())));
        }
        return drawn;
    }
}
