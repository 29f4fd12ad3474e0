package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/** Creates routes for tests. */
public final class Routes {
    private static final long LONG_TIMEOUT_MILLISECONDS = 20_000;

    private Routes() {}

    /**
     * Creates a route to the service "desk" with a timeout that is not reached, for tests of other
     * aspects.
     */
    public static Route of(CallKind kind, int maxAttempts, boolean resumable) {
        return of(kind, maxAttempts, resumable, LONG_TIMEOUT_MILLISECONDS);
    }

    /** Creates a route to the service "desk" with a timeout. */
    public static Route of(
            CallKind kind, int maxAttempts, boolean resumable, long timeoutMilliseconds) {
        return new Route(
                "r",
                "a.example",
                "/x/",
                kind,
                timeoutMilliseconds,
                100,
                0,
                List.of(new Route.Target("desk", 100)),
                maxAttempts,
                false,
                kind == CallKind.STREAM,
                resumable);
    }
}
