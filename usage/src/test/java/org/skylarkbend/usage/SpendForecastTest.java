package org.skylarkbend.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.LocalDate;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.assertj.core.data.Offset;
import org.testng.annotations.Test;

/** Tests forecasts of spend. */
public class SpendForecastTest {
    private static final LocalDate FIRST = LocalDate.of(2026, 11, 2);

    @Test
    public void tooFewDaysGiveNoForecast() {
        assertThat(SpendForecast.of(constantDays(6), comingDays(30))).isEmpty();
    }

    @Test
    public void equalDaysGiveTheirSumWithoutARange() {
        SpendForecast forecast = SpendForecast.of(constantDays(7), comingDays(30)).orElseThrow();
        assertThat(forecast.expected()).isEqualTo(300);
        assertThat(forecast.low()).isEqualTo(300);
        assertThat(forecast.high()).isEqualTo(300);
    }

    @Test
    public void fromTwoWeeksOnWeekendsAreForecastApart() {
        SortedMap<LocalDate, Double> days = new TreeMap<>();
        for (int i = 0; i < 28; i++) {
            LocalDate day = FIRST.plusDays(i);
            days.put(day, day.getDayOfWeek().getValue() > 5 ? 0.0 : 10.0);
        }
        SpendForecast forecast = SpendForecast.of(days, comingDays(7)).orElseThrow();
        assertThat(forecast.expected()).isCloseTo(50, Offset.offset(1e-9));
        assertThat(forecast.high()).isCloseTo(50, Offset.offset(1e-9));
    }

    /**
     * Simulates 1,000 customers with normally distributed days, one for each seed. The range is a
     * 90 % prediction interval.
     */
    @Test
    public void theRangeHoldsAboutNineMonthsInTen() {
        int held = 0;
        for (int seed = 0; seed < 1_000; seed++) {
            Random random = new Random(seed);
            SortedMap<LocalDate, Double> days = new TreeMap<>();
            for (int i = 0; i < 28; i++) {
                days.put(FIRST.plusDays(i), 100 + 20 * random.nextGaussian());
            }
            SpendForecast forecast = SpendForecast.of(days, comingDays(30)).orElseThrow();
            double actual =
                    IntStream.range(0, 30).mapToDouble(i -> 100 + 20 * random.nextGaussian()).sum();
            held += actual >= forecast.low() && actual <= forecast.high() ? 1 : 0;
        }
        assertThat(held).isBetween(860, 940);
    }

    private static SortedMap<LocalDate, Double> constantDays(int count) {
        SortedMap<LocalDate, Double> days = new TreeMap<>();
        IntStream.range(0, count).forEach(i -> days.put(FIRST.plusDays(i), 10.0));
        return days;
    }

    private static List<LocalDate> comingDays(int count) {
        return IntStream.range(0, count).mapToObj(i -> FIRST.plusDays(100 + i)).toList();
    }
}
