package org.skylarkbend.limits;

import java.util.stream.IntStream;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;

/**
 * Benchmark that prints the size of a report and of a grants message, and the time to encode and
 * decode both, by the number of customers.
 *
 * <p>This is a measurement, not a test; {@code docs/CAPACITY.md} names its command.
 */
public final class LimitMessageBenchmark {
    private static final int[] CUSTOMERS = {1, 10, 100};
    private static final int MESSAGES = 100_000;
    private static final int ROUNDS = 3;
    private static final long TOKENS = 1_000_000_000L;

    private LimitMessageBenchmark() {}

    /** Prints one line per number of customers. */
    public static void main(String[] args) {
        LimitCodec codec = new LimitCodec();
        for (int customers : CUSTOMERS) {
            LimitMessage report = report(customers);
            LimitMessage grants = grants(customers);
            double nanoseconds = 0;
            for (int round = 0; round < ROUNDS; round++) {
                long begin = System.nanoTime();
                for (int i = 0; i < MESSAGES / customers; i++) {
                    roundTrip(codec, report);
                    roundTrip(codec, grants);
                }
                nanoseconds = (double) (System.nanoTime() - begin) / (MESSAGES / customers);
            }
            System.out.printf(
                    "%d customers: report %d bytes, grants %d bytes, %.0f ns for both%n",
                    customers,
                    codec.encode(report).length,
                    codec.encode(grants).length,
                    nanoseconds);
        }
    }

    private static void roundTrip(LimitCodec codec, LimitMessage message) {
        if (!codec.decode(codec.encode(message)).isSuccess()) {
            throw new IllegalStateException("the message could not be decoded");
        }
    }

    private static LimitMessage report(int customers) {
        return new Report(
                7,
                1_000_000,
                false,
                IntStream.range(0, customers)
                        .mapToObj(LimitMessageBenchmark::customer)
                        .map(
                                name ->
                                        new ReportEntry(
                                                name, 0, TOKENS, TOKENS, TOKENS, 0, 0, TOKENS,
                                                false))
                        .toList());
    }

    private static LimitMessage grants(int customers) {
        return new Grants(
                7,
                1_000_000,
                IntStream.range(0, customers)
                        .mapToObj(LimitMessageBenchmark::customer)
                        .map(name -> new GrantEntry(name, TOKENS, false))
                        .toList());
    }

    private static ObjectName customer(int number) {
        return ObjectName.of("customer-" + (1_000 + number));
    }
}
