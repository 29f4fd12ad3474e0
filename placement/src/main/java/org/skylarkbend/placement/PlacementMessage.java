package org.skylarkbend.placement;

import java.util.Set;
import org.skylarkbend.base.ObjectName;

/** An input message of {@link PlacementDecider}. */
public sealed interface PlacementMessage {
    /**
     * An endpoint is ready, or its versions have changed. A new incarnation discards all state of
     * the previous one.
     */
    record EndpointAdded(EngineIncarnation engine, ObjectName pool, Set<ObjectName> versions)
            implements PlacementMessage {
        /** Copies the versions. */
        public EndpointAdded {
            versions = Set.copyOf(versions);
        }
    }

    /** An endpoint has failed, is leaving or has left. */
    record EndpointRemoved(ObjectName endpoint) implements PlacementMessage {}

    /**
     * A load report of an engine.
     *
     * @param engine the incarnation that sent the report
     * @param running the number of requests that it is processing
     * @param queued the number of queued requests
     * @param queuedPromptTokens the prompt tokens of the queued requests, including cached ones
     * @param asOfMilliseconds the time of the report by the clock of this router
     */
    record LoadReport(
            EngineIncarnation engine,
            int running,
            int queued,
            long queuedPromptTokens,
            long asOfMilliseconds)
            implements PlacementMessage {}

    /**
     * An engine has stored or evicted blocks.
     *
     * @param sequence increases by one with each event of an incarnation; a gap means that events
     *     were lost
     * @param scopeText the text of the {@link CacheScope}
     */
    record CacheEvent(
            EngineIncarnation engine,
            long sequence,
            CacheEventKind kind,
            String scopeText,
            BlockHashes blocks)
            implements PlacementMessage {}

    /** Events of an engine may have been lost, so its older index entries are stale. */
    record EventsLost(EngineIncarnation engine) implements PlacementMessage {}

    /** This router has sent a request. The attempt is an ID assigned by the sender. */
    record RequestSent(String attempt, EngineIncarnation engine, PlacementRequest request)
            implements PlacementMessage {}

    /** The first token of an attempt has been received. */
    record FirstTokenReceived(String attempt) implements PlacementMessage {}

    /** An attempt has completed; the response reports the number of cached prompt tokens. */
    record RequestFinished(String attempt, long cachedTokens) implements PlacementMessage {}

    /** An attempt has ended without a complete response. */
    record RequestFailed(String attempt) implements PlacementMessage {}
}
