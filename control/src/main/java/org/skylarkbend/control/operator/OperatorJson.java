package org.skylarkbend.control.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.control.feed.FeedStatus;
import org.skylarkbend.control.feed.RouterRecord;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.control.settings.ControlSettings;
import org.skylarkbend.control.settings.ControlVm;
import org.skylarkbend.publishing.PublishResult;
import org.skylarkbend.publishing.PublishResult.Accepted;
import org.skylarkbend.publishing.PublishResult.Conflict;
import org.skylarkbend.publishing.PublishResult.Refused;
import org.skylarkbend.publishing.RememberedPublish;

/** Encodes the responses of the operator API as JSON. */
final class OperatorJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OperatorJson() {}

    /** A JSON response body with its HTTP status. */
    record Response(int httpStatus, String json) {}

    static Response of(PublishResult result) {
        if (result instanceof Accepted accepted) {
            ObjectNode json = MAPPER.createObjectNode();
            json.put("revision", accepted.revision()).put("state", "accepted");
            return new Response(200, write(json));
        }
        if (result instanceof Conflict conflict) {
            return conflict(conflict);
        }
        return of(((Refused) result).error());
    }

    static Response of(SkylarkError error) {
        return new Response(error.kind().httpStatus(), write(errorJson(error)));
    }

    static Response of(ControlSettings settings, OperatorStatus status) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("vm", settings.vm().value());
        json.put("role", status.leadership().leads() ? "leader" : "follower");
        json.put("leader", status.leadership().leader().map(Object::toString).orElse(null));
        json.put("revision", status.publishing().revision());
        json.put("publish_id", publishIdOf(status));
        json.put("in_force", status.inForce());
        json.put("in_force_revision", status.feed().inForceRevision());
        json.put("term", status.log().term());
        ArrayNode members = json.putArray("members");
        settings.members().forEach(member -> members.add(memberJson(member, status.log())));
        ArrayNode routers = json.putArray("routers");
        FeedStatus feed = status.feed();
        feed.routers().forEach(r -> routers.add(routerJson(r, feed.nowMilliseconds())));
        return new Response(200, write(json));
    }

    private static Response conflict(Conflict conflict) {
        String detail =
                "revision "
                        + conflict.winningRevision()
                        + " won, published as "
                        + conflict.winningPublishId()
                        + "; fetch it, repeat your change on it and publish with a new ID";
        ObjectNode json = errorJson(new SkylarkError(ErrorKind.REVISION_CONFLICT, detail));
        ObjectNode error = (ObjectNode) json.get("error");
        error.put("winning_revision", conflict.winningRevision());
        error.put("winning_publish_id", conflict.winningPublishId().value());
        return new Response(ErrorKind.REVISION_CONFLICT.httpStatus(), write(json));
    }

    private static ObjectNode errorJson(SkylarkError error) {
        ObjectNode json = MAPPER.createObjectNode();
        ObjectNode fields = json.putObject("error");
        fields.put("kind", error.kind().code());
        fields.put("run_state", error.kind().runState().code());
        fields.put("detail", error.detail());
        if (error.kind() == ErrorKind.SET_INVALID) {
            ArrayNode problems = fields.putArray("problems");
            List<String> lines = error.detail().lines().toList();
            lines.forEach(problems::add);
        }
        return json;
    }

    private static ObjectNode memberJson(ControlVm member, LogStatus log) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("vm", member.vm().value()).put("host", member.host());
        json.put("feed_port", member.feedPort()).put("operator_port", member.operatorPort());
        String identity =
                log.voters().stream()
                        .filter(voter -> voter.vm().equals(member.vm()))
                        .map(LogStatus.Voter::identity)
                        .findFirst()
                        .orElse(null);
        json.put("counts", identity != null).put("identity", identity);
        return json;
    }

    private static ObjectNode routerJson(RouterRecord router, long nowMilliseconds) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("vm", router.vm().value()).put("data_centre", router.dataCentre().value());
        json.put("incarnation", router.incarnation()).put("revision", router.revision());
        json.put("live", router.isLive(nowMilliseconds));
        json.put("silent_milliseconds", nowMilliseconds - router.lastHeartbeatMilliseconds());
        return json;
    }

    private static String publishIdOf(OperatorStatus status) {
        return status.publishing()
                .findRevision(status.publishing().revision())
                .map(RememberedPublish::publishId)
                .map(Object::toString)
                .orElse(null);
    }

    private static String write(ObjectNode json) {
        try {
            return MAPPER.writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the JSON tree", e);
        }
    }
}
