package org.skylarkbend.moves;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Compares the frequency of an event in two versions, after each window and any number of times.
 *
 * <p>Given the totals of a window, the number of events that fell on the new version is
 * hypergeometric as long as both versions are equally good, whatever their common rate is. For
 * several odds ratios, the test multiplies the likelihood ratio of that number against equality.
 * Each product is a martingale with mean 1 while the versions are equal, so that by Ville's
 * inequality their average ever reaches 1/a with probability at most a. A second martingale tests
 * the opposite hypothesis: that the odds of the new version are at least {@link
 * #TOLERATED_ODDS_RATIO} times those of the old one.
 *
 * @param windows the number of windows with evidence
 * @param worseLogs the logarithms of the products, one for each of {@link #WORSE_ODDS_RATIOS}
 * @param notWorseLog the logarithm of the evidence against the tolerated odds ratio
 * @param maxNotWorseLog the maximum of {@code notWorseLog} so far; the maximum counts because the
 *     evidence may be read at any time
 */
public record SequentialTest(
        long windows, List<Double> worseLogs, double notWorseLog, double maxNotWorseLog) {
    /** The odds ratios that are tested. */
    public static final List<Double> WORSE_ODDS_RATIOS = List.of(2.0, 5.0, 20.0, 200.0);

    /** The odds ratio that a good version must stay below. */
    public static final double TOLERATED_ODDS_RATIO = 3.0;

    /**
     * Weight of the products that start with the first window. The rest is spread over products
     * that start later, so that a version that turns worse late is detected.
     */
    private static final double FIRST_START_WEIGHT = 0.5;

    /** Number of windows over which half of the weight of the later products is spread. */
    private static final double LATER_START_WINDOWS = 500;

    /** Copies the list. */
    public SequentialTest {
        worseLogs = List.copyOf(worseLogs);
    }

    /** Returns a test without observations. */
    public static SequentialTest empty() {
        double firstLog = Math.log(FIRST_START_WEIGHT);
        return new SequentialTest(0, Collections.nCopies(WORSE_ODDS_RATIOS.size(), firstLog), 0, 0);
    }

    /**
     * Returns the test after a window.
     *
     * @param oldCount the number of requests of the old version
     * @param oldEvents the number of them with the event
     * @param newCount the number of requests of the new version
     * @param newEvents the number of them with the event
     */
    public SequentialTest with(int oldCount, int oldEvents, int newCount, int newEvents) {
        int events = oldEvents + newEvents;
        if (oldCount == 0 || newCount == 0 || events == 0 || events == oldCount + newCount) {
            return this;
        }
        List<Double> weights = logWeights(oldCount, newCount, events);
        int firstPossible = Math.max(0, events - oldCount);
        List<Double> logs = new ArrayList<>();
        for (int i = 0; i < worseLogs.size(); i++) {
            double ratio = WORSE_ODDS_RATIOS.get(i);
            double started = Math.log(Math.exp(worseLogs.get(i)) + startWeight());
            logs.add(started + logRatio(weights, firstPossible, newEvents, ratio));
        }
        double tolerated = logRatio(weights, firstPossible, newEvents, TOLERATED_ODDS_RATIO);
        double notWorse = notWorseLog - tolerated;
        return new SequentialTest(windows + 1, logs, notWorse, Math.max(maxNotWorseLog, notWorse));
    }

    /**
     * Returns the evidence that the new version is worse: below 1 at the start, large if it is
     * worse.
     */
    public double evidenceWorse() {
        return worseLogs.stream().mapToDouble(Math::exp).average().orElse(1);
    }

    /** Returns the largest evidence so far that the new version is not worse than tolerated. */
    public double evidenceNotWorse() {
        return Math.exp(maxNotWorseLog);
    }

    /** Returns the weight of the products that begin with the next window. */
    private double startWeight() {
        double index = windows + LATER_START_WINDOWS;
        return (1 - FIRST_START_WEIGHT) * LATER_START_WINDOWS / (index * (index + 1));
    }

    /**
     * Returns the log of the likelihood of this count at an odds ratio, relative to that at
     * equality.
     */
    private static double logRatio(
            List<Double> logWeights, int firstPossible, int newEvents, double oddsRatio) {
        double logOdds = Math.log(oddsRatio);
        double atEquality = logSum(logWeights, 0);
        double atOddsRatio = logSum(logWeights, logOdds);
        return (newEvents - firstPossible) * logOdds + atEquality - atOddsRatio;
    }

    /**
     * Returns the log of the sum of the weights, each multiplied by the odds to the power of its
     * index.
     */
    private static double logSum(List<Double> logWeights, double logOdds) {
        double largest = Double.NEGATIVE_INFINITY;
        for (int index = 0; index < logWeights.size(); index++) {
            largest = Math.max(largest, logWeights.get(index) + index * logOdds);
        }
        double sum = 0;
        for (int index = 0; index < logWeights.size(); index++) {
            sum += Math.exp(logWeights.get(index) + index * logOdds - largest);
        }
        return largest + Math.log(sum);
    }

    /**
     * Returns the log of the number of combinations for each possible number of events of the new
     * version.
     */
    private static List<Double> logWeights(int oldCount, int newCount, int events) {
        int first = Math.max(0, events - oldCount);
        int last = Math.min(events, newCount);
        List<Double> weights = new ArrayList<>();
        double weight = 0;
        weights.add(weight);
        for (int k = first; k < last; k++) {
            double ways = (double) (newCount - k) / (k + 1);
            double fewer = (double) (events - k) / (oldCount - events + k + 1);
            weight += Math.log(ways * fewer);
            weights.add(weight);
        }
        return weights;
    }
}
