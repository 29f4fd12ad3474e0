package org.skylarkbend.publishing;

import org.skylarkbend.base.ObjectName;

/**
 * An endpoint of a published set: a process that serves requests.
 *
 * @param name the unique name of the endpoint
 * @param host its IP address
 * @param port its TCP port
 * @param dataCentre the data centre in which it runs
 * @param pool the group of interchangeable endpoints to which it belongs; routes refer to pools
 * @param kind its kind: engine or plain service
 * @param version the version that it runs until a move changes it
 * @param checksFencing true if it rejects orders with an outdated fencing number
 */
public record Endpoint(
        ObjectName name,
        String host,
        int port,
        ObjectName dataCentre,
        ObjectName pool,
        EndpointKind kind,
        ObjectName version,
        boolean checksFencing) {}
