package org.skylarkbend.publishing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.Test;

/** Checks that randomly corrupted sets are either parsed or refused with their lines. */
public class SetReaderFuzzTest implements FuzzTargets {
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

    @Override
    public List<FuzzTarget> targets() {
        byte[] set = SET.getBytes(StandardCharsets.UTF_8);
        return List.of(new FuzzTarget("sets", List.of(set), SetReaderFuzzTest::isRead, RUNS));
    }

    @Test(timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void aCorruptedSetIsParsedOrRefusedWithLines() {
        SeededFuzzing.run(targets().get(0));
    }

    private static boolean isRead(byte[] input) {
        String text = new String(input, StandardCharsets.UTF_8);
        Result<PublishedSet> result = SetReader.readText("set.yaml", text);
        result.match(
                set -> assertThat(set.rates()).isNotNull(),
                error -> assertThat(error.detail()).startsWith("set.yaml:"));
        return result.isSuccess();
    }
}
