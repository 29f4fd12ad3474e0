package org.skylarkbend.gateway;

import java.util.Map;
import org.skylarkbend.catalog.Endpoint;

/** Creates entries of the platform's list for test servers on the loopback interface. */
public final class ListedEndpoint {
    private ListedEndpoint() {}

    /** Creates the entry of an endpoint of the service "desk" that is no engine. */
    public static Endpoint of(String id, int port) {
        return new Endpoint(id, "desk", "127.0.0.1", port, "z", "v1", 6, false, 1, Map.of());
    }
}
