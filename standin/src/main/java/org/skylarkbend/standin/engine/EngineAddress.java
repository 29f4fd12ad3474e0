package org.skylarkbend.standin.engine;

import java.util.Optional;

/**
 * The address of an engine and the credential that it requires.
 *
 * @param host the IP address
 * @param port the TCP port; 0 selects a free port
 * @param credential the bearer token that callers must send; empty if none is required
 */
public record EngineAddress(String host, int port, Optional<String> credential) {
    /** Returns whether the value of an {@code Authorization} header is accepted. */
    public boolean isAuthorized(String header) {
        return credential.map(token -> ("Bearer " + token).equals(header)).orElse(true);
    }
}
