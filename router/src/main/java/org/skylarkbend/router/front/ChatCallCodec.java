package org.skylarkbend.router.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Utf8;
import org.skylarkbend.router.ChatCall;
import org.skylarkbend.router.ChatCall.ChatMessage;

/** Decodes the body of a chat call. */
final class ChatCallCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DEFAULT_MAX_RESPONSE_TOKENS = 4_096;
    private static final long MAX_RESPONSE_TOKENS = 10_000_000;

    private ChatCallCodec() {}

    static Result<ChatCall> decode(byte[] body) {
        return Utf8.decode(body, ErrorKind.BAD_REQUEST).flatMap(ChatCallCodec::decode);
    }

    private static Result<ChatCall> decode(String body) {
        try {
            JsonNode root = JSON.readTree(body);
            if (root == null || !root.isObject()) {
                return refuse("the body is not a JSON object");
            }
            return decode(root);
        } catch (JsonProcessingException e) {
            return refuse("the body is not JSON");
        }
    }

    private static Result<ChatCall> decode(JsonNode root) {
        if (!root.path("model").isTextual()) {
            return refuse("\"model\" must be the name of a route");
        }
        if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
            return refuse("\"messages\" must contain at least one message");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return refuse("\"stream\" must be true or false");
        }
        JsonNode maxTokens = root.path("max_tokens");
        boolean hasMaxTokens = !maxTokens.isMissingNode() && !maxTokens.isNull();
        if (hasMaxTokens && !isTokenCount(maxTokens)) {
            return refuse("\"max_tokens\" must be an integer from 1 to " + MAX_RESPONSE_TOKENS);
        }
        List<ChatMessage> messages = new ArrayList<>();
        for (JsonNode message : root.path("messages")) {
            if (!message.path("role").isTextual()) {
                return refuse("each message must have a \"role\"");
            }
            messages.add(new ChatMessage(message.get("role").asText(), contentOf(message)));
        }
        return Result.success(
                new ChatCall(
                        root.get("model").asText(),
                        stream.asBoolean(false),
                        isJoinable(root),
                        isRepeatable(root),
                        maxTokens.asLong(DEFAULT_MAX_RESPONSE_TOKENS),
                        messages));
    }

    private static boolean isTokenCount(JsonNode node) {
        return node.isIntegralNumber()
                && node.canConvertToLong()
                && node.asLong() >= 1
                && node.asLong() <= MAX_RESPONSE_TOKENS;
    }

    private static boolean isJoinable(JsonNode root) {
        return root.path("n").asInt(1) == 1
                && !root.has("tools")
                && !root.has("functions")
                && !root.has("logprobs")
                && !root.has("modalities");
    }

    private static boolean isRepeatable(JsonNode root) {
        JsonNode temperature = root.path("temperature");
        return root.path("seed").isIntegralNumber()
                || (temperature.isNumber() && temperature.asDouble() == 0);
    }

    private static String contentOf(JsonNode message) {
        JsonNode content = message.path("content");
        if (content.isMissingNode() || content.getNodeType() == JsonNodeType.NULL) {
            return "";
        }
        return content.isTextual() ? content.asText() : content.toString();
    }

    private static Result<ChatCall> refuse(String detail) {
        return Result.failure(ErrorKind.BAD_REQUEST, detail);
    }
}
