package org.skylarkbend.control.site;

import io.vertx.core.Future;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;

/** How engines are asked and ordered. */
public interface EngineCommands {
    /** Asks an engine what it has. */
    Future<Result<Reported>> report(Endpoint engine);

    /** Orders an engine to load weights. The answer always comes: {@code UNKNOWN} after a while. */
    Future<LoadAnswer> load(Endpoint engine, Load load);
}
