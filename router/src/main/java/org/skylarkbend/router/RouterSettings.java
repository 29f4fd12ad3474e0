package org.skylarkbend.router;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.wire.TlsFiles;

/**
 * Settings of a router.
 *
 * @param vm the VM that the router runs on
 * @param dataCentre the data centre of the VM
 * @param http the listen address for callers
 * @param control the addresses of the control VMs
 * @param endpointCredential the bearer token that authenticates the router to endpoints
 * @param platform the address that serves the platform's list of VMs, if any
 * @param collectorUrl the URL of the trace collector, if any
 * @param tls the TLS files for the connection to control, if configured
 * @param bounds size limits, timeouts and intervals
 */
public record RouterSettings(
        ObjectName vm,
        ObjectName dataCentre,
        HttpAddress http,
        List<ControlAddress> control,
        String endpointCredential,
        Optional<HttpAddress> platform,
        Optional<String> collectorUrl,
        Optional<TlsFiles> tls,
        RouterBounds bounds) {
    /** Copies the list. */
    public RouterSettings {
        control = List.copyOf(control);
    }

    /** A host and a TCP port. */
    public record HttpAddress(String host, int port) {}
}
