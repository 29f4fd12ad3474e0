package org.skylarkbend.replay.trace;

import java.util.List;
import java.util.function.Predicate;

/** Recorded or generated traffic and the deployment that serves it. */
public record Trace(
        int routers,
        List<TraceEndpoint> endpoints,
        List<TraceCustomer> customers,
        List<TraceRoute> routes,
        List<TraceRequest> requests,
        List<TraceFault> faults) {
    /** Copies the lists. */
    public Trace {
        endpoints = List.copyOf(endpoints);
        customers = List.copyOf(customers);
        routes = List.copyOf(routes);
        requests = List.copyOf(requests);
        faults = List.copyOf(faults);
    }

    /** Returns a copy of the trace with only the requests that match the predicate. */
    public Trace withRequests(Predicate<TraceRequest> predicate) {
        List<TraceRequest> kept = requests.stream().filter(predicate).toList();
        return new Trace(routers, endpoints, customers, routes, kept, faults);
    }

    /** Returns the time of the last request from the beginning of the trace. */
    public long lengthMilliseconds() {
        return requests.isEmpty() ? 0 : requests.get(requests.size() - 1).atMilliseconds();
    }
}
