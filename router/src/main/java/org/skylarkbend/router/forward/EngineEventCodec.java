package org.skylarkbend.router.forward;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.router.HttpHeader;
import org.skylarkbend.router.SseEvent;
import org.skylarkbend.router.forward.EngineEvent.TokenUsage;

/** Decodes the events of an engine's response stream and joins them into a single JSON response. */
public final class EngineEventCodec {
    /** The headers of a joined response. */
    static final List<HttpHeader> JSON_HEADERS =
            List.of(new HttpHeader("Content-Type", "application/json"));

    private static final ObjectMapper JSON = new ObjectMapper();

    private EngineEventCodec() {}

    /** Decodes one event. */
    public static Result<EngineEvent> decode(SseEvent event) {
        try {
            JsonNode root = JSON.readTree(event.data());
            if (root == null || !root.path("choices").isArray()) {
                return Result.failure(
                        ErrorKind.ENDPOINT_FAILED, "the engine sent an event without choices");
            }
            long content = Hashing.xxh3_64().hashCharsToLong(root.path("choices").toString());
            long position = Long.parseLong(event.id());
            return Result.success(new EngineEvent(position, content, usageOf(root)));
        } catch (JsonProcessingException | NumberFormatException e) {
            return Result.failure(ErrorKind.ENDPOINT_FAILED, "the engine sent an invalid event");
        }
    }

    /** Joins the events of a complete stream into the body of a non-streaming response. */
    public static byte[] join(List<SseEvent> events) {
        try {
            ObjectNode response = JSON.createObjectNode();
            StringBuilder content = new StringBuilder();
            JsonNode finish = null;
            for (SseEvent event : events) {
                JsonNode root = JSON.readTree(event.data());
                copyIfPresent(root, response, "id", "created", "model", "usage");
                JsonNode choice = root.path("choices").path(0);
                content.append(choice.path("delta").path("content").asText(""));
                finish = choice.hasNonNull("finish_reason") ? choice.get("finish_reason") : finish;
            }
            response.put("object", "chat.completion");
            ArrayNode choices = response.putArray("choices");
            ObjectNode choice = choices.addObject().put("index", 0);
            choice.putObject("message").put("role", "assistant").put("content", content.toString());
            choice.set("finish_reason", finish);
            return JSON.writeValueAsBytes(response);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("events that were already decoded cannot be joined", e);
        }
    }

    /** Rewrites the body of a chat call to request a stream that ends with the token usage. */
    public static byte[] toStreamingRequest(byte[] body) {
        try {
            ObjectNode root = (ObjectNode) JSON.readTree(body);
            root.put("stream", true);
            root.putObject("stream_options").put("include_usage", true);
            return JSON.writeValueAsBytes(root);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(
                    "a body that was already parsed cannot be rewritten", e);
        }
    }

    /** Reads the token usage from the body of a non-streaming response. */
    static Optional<TokenUsage> usageIn(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return root == null ? Optional.empty() : usageOf(root);
        } catch (java.io.IOException e) {
            return Optional.empty();
        }
    }

    private static Optional<TokenUsage> usageOf(JsonNode root) {
        JsonNode usage = root.path("usage");
        if (!usage.isObject()) {
            return Optional.empty();
        }
        long promptTokens = Math.max(0, usage.path("prompt_tokens").asLong(0));
        long cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asLong(0);
        return Optional.of(
                new TokenUsage(
                        promptTokens,
                        Math.max(0, Math.min(cachedTokens, promptTokens)),
                        Math.max(0, usage.path("completion_tokens").asLong(0))));
    }

    private static void copyIfPresent(JsonNode from, ObjectNode to, String... fields) {
        for (String field : fields) {
            if (from.hasNonNull(field)) {
                to.set(field, from.get(field));
            }
        }
    }
}
