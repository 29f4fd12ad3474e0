package org.skylarkbend.gateway.relay;

/** Message at the beginning of a connection between two gateways. */
public sealed interface RelayMessage {
    /** Asks the relay for a connection to an endpoint. */
    record Open(String host, int port) implements RelayMessage {}

    /**
     * The relay is connected to the endpoint. From now on, bytes of the asking gateway are passed
     * on unchanged, and bytes of the endpoint in blocks; see {@link TunnelDecoder}.
     */
    record Opened() implements RelayMessage {}

    /** The relay has opened no connection, and closes this one. */
    record NotOpened(Reason reason) implements RelayMessage {}

    /** Why a relay has opened no connection. */
    enum Reason {
        /** The endpoint accepted no connection of the relay. */
        ENDPOINT_UNREACHABLE,
        /** The relay does not know whether the endpoint accepts connections. */
        RELAY_UNSUITABLE
    }
}
