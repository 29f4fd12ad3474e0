package org.skylarkbend.control.site;

import io.vertx.core.Future;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage;

/** Sends requests and orders to engines. */
public interface EngineCommands {
    /**
     * Requests the loaded weights and the state of an engine. The future always completes, with
     * {@code Reported} or {@code ReportFailed}.
     */
    Future<WeightsMessage> report(Endpoint engine);

    /**
     * Orders an engine to load weights. The future always completes, with {@code UNKNOWN} after a
     * timeout.
     */
    Future<LoadAnswer> load(Endpoint engine, Load load);
}
