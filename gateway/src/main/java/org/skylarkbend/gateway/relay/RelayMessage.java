package org.skylarkbend.gateway.relay;

/** Message at the beginning of a connection between two gateways. */
public sealed interface RelayMessage {
    /** Asks the relay for a connection to an endpoint. */
    record Open(String host, int port) implements RelayMessage {}

    /**
     * The relay is connected to the endpoint. What the asking gateway sends from now on goes to the
     * endpoint as it is; what the endpoint sends follows in blocks, see {@link TunnelDecoder}.
     */
    record Opened() implements RelayMessage {}

    /** The relay has opened no connection, and closes this one. */
    record NotOpened(Reason reason) implements RelayMessage {}

    /** Why a relay has opened no connection. */
    enum Reason {
        /** The endpoint accepted no connection of the relay. */
        ENDPOINT_UNREACHABLE,
        /** The relay cannot say whether the endpoint accepts connections. */
        RELAY_UNSUITABLE
    }
}
