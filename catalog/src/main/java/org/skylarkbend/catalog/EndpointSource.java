package org.skylarkbend.catalog;

import io.vertx.core.Future;
import java.util.List;
import org.skylarkbend.base.Result;

/** Where the endpoints of a site are listed. */
@FunctionalInterface
public interface EndpointSource {
    /** All endpoints that are listed now, or why they cannot be had. */
    Future<Result<List<Endpoint>>> list();
}
