package org.skylarkbend.standin.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.standin.engine.EngineEffect.CacheEvent;
import org.skylarkbend.standin.engine.EngineEffect.SendEnd;
import org.skylarkbend.standin.engine.EngineMessage.Order;
import org.skylarkbend.standin.engine.EngineMessage.OrderKind;

/** Reads requests to a fake engine and writes its JSON responses and event streams. */
final class EngineCodec {
    /** The last event of a streamed response. */
    static final String DONE = "data: [DONE]\n\n";

    private static final int DEFAULT_ANSWER_TOKENS = 24;
    private static final int MAX_ANSWER_TOKENS = 4_096;
    private static final int DIGEST_CHARS = 12;

    private EngineCodec() {}

    /** Reads the body of a completion request. */
    static EngineRequest request(JsonObject body, String attempt, String scope, int priority) {
        String text = promptText(body);
        int answerTokens = body.getInteger("max_tokens", DEFAULT_ANSWER_TOKENS);
        return new EngineRequest(
                attempt,
                scope,
                PromptBlocks.of(text),
                "answer-to-" + Sha256.hexOf(text).substring(0, DIGEST_CHARS),
                Math.max(1, Math.min(answerTokens, MAX_ANSWER_TOKENS)),
                priority);
    }

    private static String promptText(JsonObject body) {
        StringBuilder text = new StringBuilder();
        for (Object item : body.getJsonArray("messages", new JsonArray())) {
            JsonObject message = (JsonObject) item;
            text.append(message.getString("role", "")).append('\n');
            text.append(message.getString("content", "")).append('\n');
        }
        return text.toString();
    }

    static String tokenEvent(String attempt, String version, int position, String text) {
        JsonObject delta = new JsonObject().put("content", text);
        JsonObject chunk = chunk(attempt, version).put("choices", choices("delta", delta, null));
        return event(position, chunk);
    }

    static String endEvent(SendEnd end) {
        JsonObject chunk =
                chunk(end.attempt(), end.version())
                        .put("choices", choices("delta", new JsonObject(), "stop"))
                        .put("usage", usage(end));
        return event(end.answerTokens() + 1, chunk) + DONE;
    }

    static JsonObject wholeResponse(SendEnd end, String text) {
        JsonObject message = new JsonObject().put("role", "assistant").put("content", text);
        return new JsonObject()
                .put("id", "chatcmpl-" + end.attempt())
                .put("object", "chat.completion")
                .put("system_fingerprint", end.version())
                .put("choices", choices("message", message, "stop"))
                .put("usage", usage(end));
    }

    static String cacheEvent(CacheEvent event) {
        List<String> blocks =
                event.blocks().stream().map(hash -> HexFormat.of().toHexDigits(hash)).toList();
        JsonObject data =
                new JsonObject()
                        .put("incarnation", event.incarnation())
                        .put("sequence", event.sequence())
                        .put("kind", event.kind().name().toLowerCase(Locale.ROOT))
                        .put("scope", event.scope())
                        .put("blocks", new JsonArray(blocks));
        return "data: " + data.encode() + "\n\n";
    }

    static JsonObject report(LoadReport report) {
        return new JsonObject()
                .put("incarnation", report.incarnation())
                .put("running", report.running())
                .put("queued", report.queued())
                .put("queued_prompt_tokens", report.queuedPromptTokens())
                .put("cached_blocks", report.cachedBlocks())
                .put("versions", new JsonArray(report.versions()))
                .put("leaving", report.leaving());
    }

    static JsonObject view(EngineView view) {
        return new JsonObject()
                .put("incarnation", view.incarnation())
                .put("versions", new JsonArray(view.versions()))
                .put("active_version", view.activeVersion())
                .put("last_fencing_number", view.lastFencingNumber())
                .put("checks_fencing", view.checksFencing());
    }

    static Order order(JsonObject body) {
        return new Order(
                body.getLong("fencing_number"),
                OrderKind.valueOf(body.getString("kind").toUpperCase(Locale.ROOT)),
                body.getString("version"));
    }

    /** Reads the faults. A fault that is not named is off. */
    static EngineFaults faults(JsonObject body) {
        return new EngineFaults(
                body.getBoolean("crashed", false),
                body.getBoolean("hang", false),
                body.getBoolean("leaving", false),
                body.getBoolean("crossed_attempts", false),
                body.getDouble("slow_factor", 1.0),
                body.getInteger("event_gap_every", 0),
                body.getInteger("drop_after_tokens", 0),
                body.getString("fail_version", ""),
                body.getDouble("fail_share", 0.0));
    }

    private static JsonObject chunk(String attempt, String version) {
        return new JsonObject()
                .put("id", "chatcmpl-" + attempt)
                .put("object", "chat.completion.chunk")
                .put("system_fingerprint", version);
    }

    private static JsonArray choices(String field, JsonObject content, String finishReason) {
        JsonObject choice =
                new JsonObject()
                        .put("index", 0)
                        .put(field, content)
                        .put("finish_reason", finishReason);
        return new JsonArray().add(choice);
    }

    private static JsonObject usage(SendEnd end) {
        return new JsonObject()
                .put("prompt_tokens", end.promptTokens())
                .put("completion_tokens", end.answerTokens())
                .put("total_tokens", end.promptTokens() + end.answerTokens())
                .put(
                        "prompt_tokens_details",
                        new JsonObject().put("cached_tokens", end.cachedTokens()));
    }

    private static String event(int position, JsonObject data) {
        return "id: " + position + "\ndata: " + data.encode() + "\n\n";
    }
}
