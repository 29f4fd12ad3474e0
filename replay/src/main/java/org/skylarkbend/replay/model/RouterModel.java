package org.skylarkbend.replay.model;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementDecider;
import org.skylarkbend.placement.PlacementMessage;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;
import org.skylarkbend.placement.PlacementRequest;

/** Model of a router. Its placement decider knows only the messages delivered to this router. */
final class RouterModel {
    private final Supplier<PlacementDecider> mDeciderFactory;
    private final EventLoop mLoop;
    private PlacementDecider mDecider;

    RouterModel(Supplier<PlacementDecider> deciderFactory, EventLoop loop) {
        mDeciderFactory = deciderFactory;
        mLoop = loop;
        mDecider = deciderFactory.get();
    }

    /** Restarts the router with no state except the list of endpoints. */
    void restart(List<EndpointAdded> endpoints) {
        mDecider = mDeciderFactory.get();
        endpoints.forEach(this::tell);
    }

    void tell(PlacementMessage message) {
        mDecider.apply(message, mLoop.nowMilliseconds());
    }

    Optional<EngineIncarnation> choose(PlacementRequest request) {
        return mDecider.choose(request, mLoop.nowMilliseconds()).map(choice -> choice.engine());
    }
}
