package org.skylarkbend.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;

/**
 * Measures the size of one serialized cache event and the time to parse it, by its number of
 * blocks.
 *
 * <p>This is a measurement, not a test; {@code docs/CAPACITY.md} has the command that runs it.
 */
public final class CacheEventBenchmark {
    private static final int[] BLOCKS = {1, 16, 64};
    private static final int EVENTS = 200_000;
    private static final int ROUNDS = 3;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CacheEventBenchmark() {}

    /** Prints one line for each size. */
    public static void main(String[] args) throws IOException {
        for (int blocks : BLOCKS) {
            byte[] line = line(blocks);
            double nanoseconds = 0;
            for (int round = 0; round < ROUNDS; round++) {
                long begin = System.nanoTime();
                int read = 0;
                for (int i = 0; i < EVENTS; i++) {
                    read += read(line).blocks().count();
                }
                nanoseconds = (double) (System.nanoTime() - begin) / EVENTS;
                if (read != EVENTS * blocks) {
                    throw new IllegalStateException("not all blocks were parsed");
                }
            }
            System.out.printf(
                    "event of %d blocks: %d bytes, %.1f a block; read in %.0f ns, %.0f a block%n",
                    blocks,
                    line.length,
                    (double) line.length / blocks,
                    nanoseconds,
                    nanoseconds / blocks);
        }
    }

    private static byte[] line(int blocks) {
        SplittableRandom random = new SplittableRandom(blocks);
        BlockHashes hashes = BlockHashes.of(random.longs(blocks).toArray());
        String scope = CacheScope.of(ObjectName.of("customer-1000"), "weights-1", "").text();
        String list = "\"" + String.join("\",\"", hashes.toHex()) + "\"";
        String json =
                "data: {\"incarnation\":1,\"sequence\":1000000,\"kind\":\"stored\",\"scope\":\""
                        + scope
                        + "\",\"blocks\":["
                        + list
                        + "]}\n\n";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private static CacheEvent read(byte[] line) throws IOException {
        int prefixBytes = "data: ".length();
        JsonNode node = MAPPER.readTree(line, prefixBytes, line.length - prefixBytes);
        List<String> blocks = new ArrayList<>();
        node.get("blocks").forEach(block -> blocks.add(block.asText()));
        return new CacheEvent(
                new EngineIncarnation(ObjectName.of("e1"), node.get("incarnation").asLong()),
                node.get("sequence").asLong(),
                CacheEventKind.STORED,
                node.get("scope").asText(),
                BlockHashes.ofHex(blocks));
    }
}
