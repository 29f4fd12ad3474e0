package org.skylarkbend.router.forward;

import java.util.Optional;

/**
 * The silent connection of a stream, which is kept until the stream was resumed on another one.
 * Confined to the forwarding task.
 */
final class KeptConnection {
    private Optional<EndpointExchange> mExchange = Optional.empty();

    void keep(EndpointExchange exchange) {
        mExchange = Optional.of(exchange);
    }

    boolean isPresent() {
        return mExchange.isPresent();
    }

    boolean is(EndpointExchange exchange) {
        return mExchange.filter(kept -> kept == exchange).isPresent();
    }

    /** Returns the connection, which is kept no longer. */
    EndpointExchange take() {
        EndpointExchange kept = mExchange.orElseThrow();
        mExchange = Optional.empty();
        return kept;
    }

    void pause() {
        mExchange.ifPresent(EndpointExchange::pause);
    }

    void resumeReading() {
        mExchange.ifPresent(EndpointExchange::resumeReading);
    }

    /** Closes the connection, if there is one. */
    void abandon() {
        mExchange.ifPresent(EndpointExchange::abandon);
        mExchange = Optional.empty();
    }
}
