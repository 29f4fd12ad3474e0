package org.skylarkbend.control.site;

import io.vertx.core.Future;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;

/** Sends requests and orders to engines. */
public interface EngineCommands {
    /** Requests the loaded weights and the state of an engine. */
    Future<Result<Reported>> report(Endpoint engine);

    /**
     * Orders an engine to load weights. The future always completes, with {@code UNKNOWN} after a
     * timeout.
     */
    Future<LoadAnswer> load(Endpoint engine, Load load);
}
