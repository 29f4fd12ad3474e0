package org.skylarkbend.standin.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.FakeCaller;
import org.skylarkbend.standin.FakeCaller.FakeResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the fake service over HTTP. */
public class ServiceTaskTest {
    private Vertx mVertx;
    private FakeCaller mCaller;

    @BeforeMethod
    public void startService() throws Exception {
        mVertx = Vertx.vertx();
        ServiceTask task =
                new ServiceTask(
                        "127.0.0.1",
                        0,
                        7,
                        new ServiceDecider(),
                        new Tracing("test", Optional.empty()));
        mVertx.deployVerticle(task).toCompletionStage().toCompletableFuture().get();
        mCaller = new FakeCaller(mVertx, task.port());
    }

    @AfterMethod
    public void stopService() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get();
    }

    @Test
    public void everyRunOfACallIsCounted() throws Exception {
        book("key-1");
        book("key-1");
        book("key-2");
        assertThat(count().getJsonObject("runs").getLong("POST /bookings key-1")).isEqualTo(2);
        assertThat(count().getLong("total")).isEqualTo(3);
    }

    @Test
    public void aCallRefusedBeforeItRunsIsNotCountedAndTheResponseSaysSo() throws Exception {
        activateFault("refuse");
        FakeResponse refused = book("key-1");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.header("x-skylark-not-run")).isEqualTo("true");
        assertThat(count().getLong("total")).isZero();
    }

    @Test
    public void aRefusalCanNameTheTimeForWhichNoCallsAreWanted() throws Exception {
        mCaller.send(
                HttpMethod.POST,
                "/faults",
                Map.of(),
                new JsonObject().put("refuse", true).put("retry_after_seconds", 3).encode());
        FakeResponse refused = book("key-1");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.header("retry-after")).isEqualTo("3");
    }

    @Test
    public void theResponsesOfALeavingServiceSaySo() throws Exception {
        assertThat(book("key-1").header("server-leaving")).isNull();
        activateFault("leaving");
        assertThat(book("key-2").header("server-leaving")).isEqualTo("1");
    }

    @Test
    public void aCallWhoseResponseIsLostIsCounted() throws Exception {
        activateFault("close_after_run");
        assertThatThrownBy(() -> book("key-1")).isNotNull();
        assertThat(count().getLong("total")).isEqualTo(1);
    }

    @Test
    public void faultsThatAreNoJsonAreRefusedAndTheServiceServesOn() throws Exception {
        FakeResponse garbled = mCaller.send(HttpMethod.POST, "/faults", Map.of(), "{\"refuse\":");
        assertThat(garbled.status()).isEqualTo(400);
        assertThat(book("key-1").status()).isEqualTo(200);
    }

    private FakeResponse book(String key) throws Exception {
        return mCaller.send(
                HttpMethod.POST, "/bookings", Map.of("Idempotency-Key", key), "{\"core\":76}");
    }

    private void activateFault(String name) throws Exception {
        String body = new JsonObject().put(name, true).encode();
        mCaller.send(HttpMethod.POST, "/faults", Map.of(), body);
    }

    private JsonObject count() throws Exception {
        return new JsonObject(mCaller.send(HttpMethod.GET, "/count", Map.of(), "").body());
    }
}
