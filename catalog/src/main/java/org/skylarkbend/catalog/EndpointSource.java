package org.skylarkbend.catalog;

import io.vertx.core.Future;
import java.util.List;
import org.skylarkbend.base.Result;

/** Source of the list of endpoints of a site. */
@FunctionalInterface
public interface EndpointSource {
    /**
     * Returns the endpoints currently listed, or a failure with the reason if the list is
     * unavailable.
     */
    Future<Result<List<Endpoint>>> list();
}
