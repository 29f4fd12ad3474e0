package org.skylarkbend.wire;

import java.util.Optional;

/**
 * Limits, timeouts and TLS files of connections between the system's processes.
 *
 * @param maxPayloadBytes the maximum payload of a frame
 * @param maxUnsentBytes the size of the frames that wait for the peer to read earlier ones, above
 *     which the connection is closed
 * @param heartbeatMilliseconds the interval between heartbeats
 * @param silenceMilliseconds the time without a received frame, or with a full write queue, after
 *     which a connection is closed
 * @param connectTimeoutMilliseconds the timeout for opening a connection
 * @param tlsReloadMilliseconds the interval at which a listener reloads the TLS files
 * @param tls the TLS files; if empty, connections do not use TLS
 */
public record WireOptions(
        int maxPayloadBytes,
        long maxUnsentBytes,
        long heartbeatMilliseconds,
        long silenceMilliseconds,
        long connectTimeoutMilliseconds,
        long tlsReloadMilliseconds,
        Optional<TlsFiles> tls) {
    private static final int DEFAULT_MAX_PAYLOAD_BYTES = 16 * 1024 * 1024;
    private static final long DEFAULT_MAX_UNSENT_BYTES = 16 * 1024 * 1024;
    private static final long DEFAULT_HEARTBEAT_MILLISECONDS = 500;
    private static final long DEFAULT_SILENCE_MILLISECONDS = 2_000;
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final long DEFAULT_TLS_RELOAD_MILLISECONDS = 5_000;

    /** Returns the default options without TLS. */
    public static WireOptions plain() {
        return of(Optional.empty());
    }

    /** Returns these options with another timeout for opening a connection. */
    public WireOptions withConnectTimeout(long milliseconds) {
        return new WireOptions(
                maxPayloadBytes,
                maxUnsentBytes,
                heartbeatMilliseconds,
                silenceMilliseconds,
                milliseconds,
                tlsReloadMilliseconds,
                tls);
    }

    /** Returns the default options, with TLS if files are given. */
    public static WireOptions of(Optional<TlsFiles> tls) {
        return new WireOptions(
                DEFAULT_MAX_PAYLOAD_BYTES,
                DEFAULT_MAX_UNSENT_BYTES,
                DEFAULT_HEARTBEAT_MILLISECONDS,
                DEFAULT_SILENCE_MILLISECONDS,
                DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
                DEFAULT_TLS_RELOAD_MILLISECONDS,
                tls);
    }
}
