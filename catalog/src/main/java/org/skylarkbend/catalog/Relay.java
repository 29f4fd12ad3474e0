package org.skylarkbend.catalog;

/**
 * Gateway that opens connections to endpoints for other gateways.
 *
 * @param host host that it listens on
 * @param port port that it listens on
 * @param dataCentre data centre that it runs in
 * @param leaving true if it is about to end, and is to be asked last
 */
public record Relay(String host, int port, String dataCentre, boolean leaving) {
    /** Returns whether another relay listens on the same address. */
    public boolean isSameAddress(Relay other) {
        return host.equals(other.host) && port == other.port;
    }
}
