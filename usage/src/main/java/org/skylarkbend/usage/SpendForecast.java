package org.skylarkbend.usage;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A forecast of the spend over future days.
 *
 * <p>The expected spend of a day is the mean of the observed days or, from two full weeks on, the
 * mean of the same weekday. With {@code s} the standard deviation of the observed days around their
 * means, {@code n} observed days and {@code N} future days, the range is the expected sum ± 1.645 ·
 * s · √(N + N²/n). This is a 90 % prediction interval, provided that customers continue to behave
 * as observed. Trends and planned changes are not modelled.
 *
 * @param low the lower bound of the range
 * @param expected the expected spend
 * @param high the upper bound of the range
 * @param observedDays the number of observed days that the forecast is based on
 */
public record SpendForecast(double low, double expected, double high, int observedDays) {
    /** The minimum number of observed days for a forecast. */
    public static final int MIN_OBSERVED_DAYS = 7;

    /** The maximum number of observed days; older days are ignored. */
    public static final int MAX_OBSERVED_DAYS = 56;

    private static final int MIN_DAYS_FOR_WEEKDAY_MEANS = 14;
    private static final double Z_SCORE_OF_90_PERCENT_RANGE = 1.645;

    /**
     * Forecasts the total spend over future days.
     *
     * @param spendByDay the spend of full observed days, without days whose data may be incomplete
     * @param coming the days to forecast
     * @return the forecast, or empty if fewer than {@link #MIN_OBSERVED_DAYS} days were observed
     */
    public static Optional<SpendForecast> of(
            SortedMap<LocalDate, Double> spendByDay, List<LocalDate> coming) {
        SortedMap<LocalDate, Double> observed = newest(spendByDay);
        if (observed.size() < MIN_OBSERVED_DAYS) {
            return Optional.empty();
        }
        double[] means = meansByWeekday(observed);
        double expected = coming.stream().mapToDouble(day -> means[indexOf(day)]).sum();
        double deviation = deviation(observed, means);
        double days = coming.size();
        double spread =
                Z_SCORE_OF_90_PERCENT_RANGE
                        * deviation
                        * Math.sqrt(days + days * days / observed.size());
        return Optional.of(
                new SpendForecast(
                        Math.max(0, expected - spread),
                        expected,
                        expected + spread,
                        observed.size()));
    }

    private static SortedMap<LocalDate, Double> newest(SortedMap<LocalDate, Double> spendByDay) {
        TreeMap<LocalDate, Double> newest = new TreeMap<>(spendByDay);
        while (newest.size() > MAX_OBSERVED_DAYS) {
            newest.pollFirstEntry();
        }
        return newest;
    }

    private static double[] meansByWeekday(SortedMap<LocalDate, Double> observed) {
        double[] sums = new double[DayOfWeek.values().length];
        int[] counts = new int[sums.length];
        observed.forEach(
                (day, spend) -> {
                    sums[indexOf(day)] += spend;
                    counts[indexOf(day)]++;
                });
        boolean byWeekday =
                observed.size() >= MIN_DAYS_FOR_WEEKDAY_MEANS
                        && Arrays.stream(counts).allMatch(count -> count >= 2);
        double overall = Arrays.stream(sums).sum() / observed.size();
        double[] means = new double[sums.length];
        for (int i = 0; i < means.length; i++) {
            means[i] = byWeekday ? sums[i] / counts[i] : overall;
        }
        return means;
    }

    private static double deviation(SortedMap<LocalDate, Double> observed, double[] means) {
        double squares = 0;
        for (Map.Entry<LocalDate, Double> entry : observed.entrySet()) {
            double difference = entry.getValue() - means[indexOf(entry.getKey())];
            squares += difference * difference;
        }
        long fittedMeans = Arrays.stream(means).distinct().count();
        return Math.sqrt(squares / Math.max(1, observed.size() - fittedMeans));
    }

    private static int indexOf(LocalDate day) {
        return day.getDayOfWeek().ordinal();
    }
}
