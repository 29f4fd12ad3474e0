package org.skylarkbend.usage;

import java.time.LocalDate;
import java.time.YearMonth;

/** Converts months in UTC to and from numbers: 12 × year + month − 1. */
public final class MonthNumbers {
    private static final int MONTHS_PER_YEAR = 12;

    private MonthNumbers() {}

    /** Returns the month of a day given as days since 1970-01-01. */
    public static long ofEpochDay(long epochDay) {
        return numberOf(YearMonth.from(LocalDate.ofEpochDay(epochDay)));
    }

    /** Returns the number of a month. */
    public static long numberOf(YearMonth month) {
        return (long) month.getYear() * MONTHS_PER_YEAR + month.getMonthValue() - 1;
    }

    /** Returns the month with the given number. */
    public static YearMonth of(long number) {
        return YearMonth.of((int) (number / MONTHS_PER_YEAR), (int) (number % MONTHS_PER_YEAR) + 1);
    }
}
