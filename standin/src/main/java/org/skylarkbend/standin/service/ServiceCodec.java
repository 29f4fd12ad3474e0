package org.skylarkbend.standin.service;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.TreeMap;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.standin.service.ServiceEffect.RespondRan;

/** Reads requests to a fake service and writes its JSON responses. */
final class ServiceCodec {
    private static final int REFERENCE_CHARS = 10;

    private ServiceCodec() {}

    static ServiceCall call(HttpServerRequest request, String body) {
        String key = request.getHeader("Idempotency-Key");
        String identity = key == null ? Sha256.hexOf(body) : key;
        return new ServiceCall(request.method().name(), request.path(), identity);
    }

    static JsonObject runResponse(RespondRan response) {
        String reference = Sha256.hexOf(response.call().key()).substring(0, REFERENCE_CHARS);
        return new JsonObject()
                .put("path", response.call().path())
                .put("reference", reference)
                .put("run", response.run());
    }

    static JsonObject counts(ServiceDecider decider) {
        JsonObject runs = new JsonObject();
        new TreeMap<>(decider.runsByCall()).forEach(runs::put);
        return new JsonObject().put("runs", runs).put("total", decider.totalRuns());
    }

    /** Reads the faults. A fault that is not named is off. */
    static ServiceFaults faults(JsonObject body) {
        return new ServiceFaults(
                body.getBoolean("refuse", false),
                body.getLong("retry_after_seconds", 0L),
                body.getBoolean("close_before_run", false),
                body.getBoolean("close_after_run", false),
                body.getBoolean("hang_after_run", false),
                body.getBoolean("leaving", false),
                body.getLong("delay_milliseconds", 0L));
    }
}
