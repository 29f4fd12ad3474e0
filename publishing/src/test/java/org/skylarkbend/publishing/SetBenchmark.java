package org.skylarkbend.publishing;

import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;

/**
 * Measures sets of several sizes (encoded size, parse time, heap use) and the encoding of
 * heartbeats and leases.
 *
 * <p>Not run as a test; {@code docs/CAPACITY.md} gives the command.
 */
public final class SetBenchmark {
    private static final int[] CUSTOMERS = {5, 180, 600, 1_800};
    private static final int RUNS = 30;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final int MESSAGES = 1_000_000;

    private SetBenchmark() {}

    /** Prints one line per set size, then one per message type. */
    public static void main(String[] args) {
        for (int customers : CUSTOMERS) {
            String yaml = yaml(customers);
            PublishedSet[] held = new PublishedSet[RUNS];
            for (int i = 0; i < RUNS; i++) {
                held[i] = read(yaml);
            }
            long usedBefore = usedBytes();
            long begin = System.nanoTime();
            for (int i = 0; i < RUNS; i++) {
                held[i] = read(yaml);
            }
            double milliseconds = (System.nanoTime() - begin) / NANOSECONDS_PER_MILLISECOND / RUNS;
            int frameBytes = new FeedCodec().encode(new SetDocument(1, yaml)).length;
            held = retainLast(held);
            long one = usedBytes();
            PublishedSet last = held[0];
            held[0] = null;
            last = last.customers().isEmpty() ? last : null;
            long none = usedBytes();
            System.out.printf(
                    "customers %d endpoints %d: document %d bytes, read and checked in %.2f ms,"
                            + " held in %d bytes%n",
                    customers, customers / 3, frameBytes, milliseconds, one - none);
            if (usedBefore < 0 || last != null) {
                throw new IllegalStateException("the set was not retained during the measurement");
            }
        }
        measureMessage("RouterHeartbeat", new RouterHeartbeat(1_000_000, 5_000));
        measureMessage("ServingLease", new ServingLease(1_000_000, 5_000, 5_000));
    }

    private static PublishedSet[] retainLast(PublishedSet[] held) {
        return new PublishedSet[] {held[held.length - 1]};
    }

    private static PublishedSet read(String yaml) {
        return SetReader.readText("set", yaml)
                .fold(
                        set -> set,
                        error -> {
                            throw new IllegalStateException(error.detail());
                        });
    }

    private static void measureMessage(String name, FeedMessage message) {
        FeedCodec codec = new FeedCodec();
        long bytes = 0;
        double nanoseconds = 0;
        for (int round = 0; round < 2; round++) {
            long begin = System.nanoTime();
            for (int i = 0; i < MESSAGES; i++) {
                byte[] encoded = codec.encode(message);
                bytes = encoded.length;
                if (!codec.decode(encoded).isSuccess()) {
                    throw new IllegalStateException("the message could not be decoded");
                }
            }
            nanoseconds = (double) (System.nanoTime() - begin) / MESSAGES;
        }
        System.out.printf(
                "%s: %d bytes without its frame, %.0f ns to write and read%n",
                name, bytes, nanoseconds);
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static String yaml(int customers) {
        StringBuilder yaml = new StringBuilder("rates:\n");
        for (int i = 0; i < 10; i++) {
            yaml.append("  rate-").append(i).append(": {tokens_per_second: 1000, ");
            yaml.append("burst_tokens: 40000}\n");
        }
        yaml.append("customers:\n");
        for (int i = 0; i < customers; i++) {
            yaml.append("  customer-").append(i).append(": {rate: rate-").append(i % 10);
            yaml.append(", grant_per_month: 100000, weight: 2}\n");
        }
        yaml.append("keys:\n");
        for (int i = 0; i < customers; i++) {
            yaml.append("  key-").append(i).append(": {customer: customer-").append(i);
            yaml.append(", digest_sha256: \"").append(String.format("%064x", i + 1));
            yaml.append("\"}\n");
        }
        appendVersions(yaml);
        yaml.append("endpoints:\n");
        for (int i = 0; i < Math.max(1, customers / 3); i++) {
            yaml.append("  engine-").append(i).append(": {host: 10.0.0.1, port: 8000, ");
            yaml.append("data_centre: dc-1, pool: pool-")
                    .append(i % 10 % Math.max(1, customers / 3));
            yaml.append(", kind: engine, version: version-").append(i % 10).append("}\n");
        }
        return yaml.toString();
    }

    private static void appendVersions(StringBuilder yaml) {
        yaml.append("versions:\n");
        for (int i = 0; i < 10; i++) {
            yaml.append("  version-").append(i).append(": {model: model-").append(i);
            yaml.append(", weights: store/weights-").append(i).append("}\n");
        }
        yaml.append("routes:\n");
        yaml.append("  route-0: {kind: engine, pool: pool-0, version: version-0, ");
        yaml.append("deadline_milliseconds: 10000}\n");
    }
}
