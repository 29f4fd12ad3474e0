package org.skylarkbend.router.watch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.CacheEventKind;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;

/** Decodes the prefix cache events of engines. */
final class CacheEventCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private CacheEventCodec() {}

    /** Decodes the data of a server-sent event. Returns empty if it is invalid. */
    static Optional<CacheEvent> decode(ObjectName endpoint, String data) {
        try {
            JsonNode root = JSON.readTree(data);
            if (root == null || !root.path("sequence").isIntegralNumber()) {
                return Optional.empty();
            }
            String kind = root.path("kind").asText().toUpperCase(Locale.ROOT);
            List<String> blocks = new ArrayList<>();
            root.path("blocks").forEach(block -> blocks.add(block.asText()));
            return Optional.of(
                    new CacheEvent(
                            new EngineIncarnation(endpoint, root.path("incarnation").asLong()),
                            root.get("sequence").asLong(),
                            CacheEventKind.valueOf(kind),
                            root.path("scope").asText(),
                            BlockHashes.ofHex(blocks)));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
