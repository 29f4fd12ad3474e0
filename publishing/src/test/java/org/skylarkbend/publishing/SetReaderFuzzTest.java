package org.skylarkbend.publishing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.skylarkbend.testing.ByteMutations;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Checks that randomly corrupted sets are either parsed or refused with their lines. */
public class SetReaderFuzzTest {
    private static final int RUNS = 3_000;
    private static final String SET =
            """
            rates:
              standard: {tokens_per_second: 4000, burst_tokens: 60000, currency: XOF}
            customers:
              printer: {rate: standard, weight: 2}
            keys:
              k1: {customer: printer, digest_sha256: "%s"}
            versions:
              v1: {model: winding, weights: w1, load_milliseconds: 500}
            endpoints:
              a1: {host: 127.0.0.1, port: 9001, data_centre: a, pool: p, kind: engine, version: v1}
            routes:
              spec: {kind: engine, pool: p, version: v1, deadline_milliseconds: 1000}
            """
                    .formatted("0".repeat(64));

    @Test
    public void theUncorruptedSetIsValid() {
        assertThat(SetReader.readText("set.yaml", SET).isSuccess()).isTrue();
    }

    @Test
    public void aCorruptedSetIsParsedOrRefusedWithLines() {
        byte[] original = SET.getBytes(StandardCharsets.UTF_8);
        SeededRuns.forEachSeed(
                1,
                RUNS,
                seed -> {
                    byte[] corrupted = ByteMutations.mutate(original, new SplittableRandom(seed));
                    String text = new String(corrupted, StandardCharsets.UTF_8);
                    SetReader.readText("set.yaml", text)
                            .match(
                                    set -> assertThat(set.rates()).isNotNull(),
                                    error -> assertThat(error.detail()).startsWith("set.yaml:"));
                });
    }
}
