package org.skylarkbend.gateway;

import java.util.List;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;

/** Routes for tests. */
public final class Routes {
    private static final long PATIENT_MILLISECONDS = 20_000;

    private Routes() {}

    /** A route to the service "desk" of this kind, for tests that are not about its time-out. */
    public static Route of(CallKind kind, int maxAttempts, boolean resumable) {
        return of(kind, maxAttempts, resumable, PATIENT_MILLISECONDS);
    }

    /** A route to the service "desk" of this kind and time-out. */
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
