package org.skylarkbend.standin.engine;

import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.standin.StandinServer;
import org.skylarkbend.standin.engine.EngineEffect.CacheEvent;

/** The open connections that receive cache events. */
final class EventListeners {
    /** A connection and the server that knows whether it has stopped responding. */
    private record Listener(HttpServerRequest request, StandinServer server) {
        void send(CacheEvent event) {
            if (!server.isSilent(request.connection())) {
                request.response().write(EngineCodec.cacheEvent(event));
            }
        }
    }

    private final List<Listener> mListeners = new ArrayList<>();

    void add(HttpServerRequest request, StandinServer server, List<CacheEvent> missed) {
        Listener listener = new Listener(request, server);
        request.response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .closeHandler(ignored -> mListeners.remove(listener));
        request.response().writeHead();
        missed.forEach(listener::send);
        mListeners.add(listener);
    }

    void send(CacheEvent event) {
        mListeners.forEach(listener -> listener.send(event));
    }

    void closeAll() {
        List.copyOf(mListeners).forEach(listener -> listener.request().connection().close());
    }
}
