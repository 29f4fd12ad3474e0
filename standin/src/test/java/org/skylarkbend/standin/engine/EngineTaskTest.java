package org.skylarkbend.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.FakeCaller;
import org.skylarkbend.standin.FakeCaller.FakeResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the fake engine over HTTP. */
public class EngineTaskTest {
    private Vertx mVertx;
    private FakeCaller mCaller;

    @BeforeMethod
    public void startEngine() throws Exception {
        mVertx = Vertx.vertx();
        EngineOptions options = new EngineOptions(List.of("v1"), 100, 4, 10_000, 1, 1, true, 0, 0);
        EngineTask task =
                new EngineTask(
                        new EngineAddress("127.0.0.1", 0, Optional.of("router-credential")),
                        new EngineDecider(options, 7),
                        MillisecondClock.monotonic(),
                        new Tracing("test", Optional.empty()));
        mVertx.deployVerticle(task).toCompletionStage().toCompletableFuture().get();
        mCaller = new FakeCaller(mVertx, task.port());
    }

    @AfterMethod
    public void stopEngine() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get();
    }

    @Test
    public void aStreamCarriesPositionsUsageAndTheAttempt() throws Exception {
        submit("first", "attempt-1", true);
        FakeResponse second = submit("first", "attempt-2", true);
        assertThat(second.header("x-skylark-attempt")).isEqualTo("attempt-2");
        assertThat(second.body())
                .contains("id: 1\ndata: {")
                .contains("id: 3\ndata: {")
                .contains("\"cached_tokens\":2000")
                .endsWith("data: [DONE]\n\n");
    }

    @Test
    public void aStreamCutShortIsResumedByPosition() throws Exception {
        setFaults(new JsonObject().put("drop_after_tokens", 2));
        assertThatThrownBy(() -> submit("cut", "attempt-3", true)).isNotNull();
        FakeResponse rest =
                mCaller.send(HttpMethod.GET, "/v1/streams/attempt-3?after=2", Map.of(), "");
        assertThat(rest.body()).startsWith("id: 3\n").endsWith("data: [DONE]\n\n");
    }

    @Test
    public void aResponseInOnePieceIsTheSameAsTheStream() throws Exception {
        JsonObject whole = new JsonObject(submit("whole", "attempt-4", false).body());
        String content =
                whole.getJsonArray("choices")
                        .getJsonObject(0)
                        .getJsonObject("message")
                        .getString("content");
        assertThat(content).startsWith("answer-to-").endsWith(" t2 t3");
    }

    @Test
    public void anUnknownCredentialIsRefused() throws Exception {
        FakeResponse response =
                mCaller.send(HttpMethod.POST, "/v1/chat/completions", Map.of(), body("a", false));
        assertThat(response.status()).isEqualTo(401);
    }

    @Test
    public void crossedResponsesCarryAnotherAttempt() throws Exception {
        submit("a", "attempt-5", false);
        setFaults(new JsonObject().put("crossed_attempts", true));
        assertThat(submit("b", "attempt-6", false).header("x-skylark-attempt"))
                .isEqualTo("attempt-5");
    }

    @Test
    public void aBodyThatIsNoJsonIsRefusedAndTheEngineServesOn() throws Exception {
        Map<String, String> headers = Map.of("Authorization", "Bearer router-credential");
        FakeResponse garbled =
                mCaller.send(HttpMethod.POST, "/v1/chat/completions", headers, "{\"messages\":");
        assertThat(garbled.status()).isEqualTo(400);
        assertThat(submit("a", "attempt-7", false).status()).isEqualTo(200);
    }

    private FakeResponse submit(String topic, String attempt, boolean streaming) throws Exception {
        Map<String, String> headers =
                Map.of(
                        "Authorization", "Bearer router-credential",
                        "X-Skylark-Attempt", attempt,
                        "X-Skylark-Cache-Scope", "customer/v1");
        return mCaller.send(
                HttpMethod.POST, "/v1/chat/completions", headers, body(topic, streaming));
    }

    private void setFaults(JsonObject faults) throws Exception {
        mCaller.send(HttpMethod.POST, "/faults", Map.of(), faults.encode());
    }

    private static String body(String topic, boolean streaming) {
        String content = topic + " ".repeat(PromptBlocks.BLOCK_CHARS);
        JsonObject message = new JsonObject().put("role", "user").put("content", content);
        return new JsonObject()
                .put("model", "desk")
                .put("stream", streaming)
                .put("max_tokens", 3)
                .put("messages", new JsonArray().add(message))
                .encode();
    }
}
