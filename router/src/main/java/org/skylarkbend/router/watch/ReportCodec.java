package org.skylarkbend.router.watch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.MembershipMessage;

/** Decodes the load reports of engines and the platform's list of VMs. */
final class ReportCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ReportCodec() {}

    static Optional<LoadReport> decodeLoad(byte[] body, long asOfMilliseconds) {
        return parse(body)
                .filter(root -> root.path("incarnation").isIntegralNumber())
                .map(
                        root ->
                                new LoadReport(
                                        root.get("incarnation").asLong(),
                                        root.path("running").asLong(0),
                                        root.path("queued").asLong(0),
                                        root.path("queued_prompt_tokens").asLong(0),
                                        root.path("cached_blocks").asLong(0),
                                        texts(root.path("versions")),
                                        root.path("leaving").asBoolean(false),
                                        asOfMilliseconds));
    }

    static Optional<MembershipMessage.ListRead> decodeList(byte[] body) {
        return parse(body)
                .filter(root -> root.path("generation").isIntegralNumber())
                .map(
                        root ->
                                new MembershipMessage.ListRead(
                                        root.get("generation").asLong(),
                                        leaving(root.path("endpoints"))));
    }

    private static Set<ObjectName> leaving(JsonNode entries) {
        Set<ObjectName> leaving = new HashSet<>();
        for (JsonNode entry : entries) {
            String name = entry.path("name").asText();
            if (entry.path("state").asText().equals("leaving") && ObjectName.isValid(name)) {
                leaving.add(ObjectName.of(name));
            }
        }
        return leaving;
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(item -> texts.add(item.asText()));
        return texts;
    }

    private static Optional<JsonNode> parse(byte[] body) {
        try {
            return Optional.ofNullable(JSON.readTree(body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
