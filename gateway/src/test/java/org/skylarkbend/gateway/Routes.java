package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/** Routes for tests. */
public final class Routes {
    private Routes() {}

    /** A route to the service "desk" of this kind. */
    public static Route of(CallKind kind, int maxAttempts, boolean resumable) {
        return new Route(
                "r",
                "a.example",
                "/x/",
                kind,
                2_000,
                100,
                0,
                List.of(new Route.Target("desk", 100)),
                maxAttempts,
                false,
                kind == CallKind.STREAM,
                resumable);
    }
}
