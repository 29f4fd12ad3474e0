package org.skylarkbend.control.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.skylarkbend.control.feed.FeedEffect.Close;
import org.skylarkbend.control.feed.FeedEffect.Confirm;
import org.skylarkbend.control.feed.FeedEffect.Forward;
import org.skylarkbend.control.feed.FeedEffect.Propose;
import org.skylarkbend.control.feed.FeedEffect.ReportConnected;
import org.skylarkbend.control.feed.FeedEffect.ReportInForce;
import org.skylarkbend.control.feed.FeedEffect.Send;
import org.skylarkbend.control.feed.FeedInput.ConfirmationEnded;
import org.skylarkbend.control.feed.FeedInput.ConnectionEnded;
import org.skylarkbend.control.feed.FeedInput.LeaderMessageChanged;
import org.skylarkbend.control.feed.FeedInput.LeadershipChanged;
import org.skylarkbend.control.feed.FeedInput.MessageForRouter;
import org.skylarkbend.control.feed.FeedInput.RetainedMessageChanged;
import org.skylarkbend.control.feed.FeedInput.RevisionCommitted;
import org.skylarkbend.control.feed.FeedInput.RouterSent;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.NotLeader;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;

/**
 * Decides which routers get a serving lease and which revision is in force.
 *
 * <p>A lease is granted only after a quorum has confirmed the leadership, with a confirmation that
 * started after the heartbeat arrived. One confirmation covers all heartbeats that arrived before
 * it started, so that the number of confirmations does not grow with the number of routers.
 *
 * <p>A new leader does not know the leases granted by previous leaders. It reports no revision as
 * in force until all of them have certainly expired.
 */
public final class FeedDecider {
    private final FeedOptions mOptions;
    private final Map<Long, RouterHello> mConnections = new TreeMap<>();
    private final Map<RouterKey, RouterRecord> mRouters = new TreeMap<>();
    private final Map<String, SliceMessage> mRetainedMessages = new TreeMap<>();
    private final Set<String> mLeaderSlices = new TreeSet<>();
    private final Set<Long> mLeasedConnections = new TreeSet<>();
    private final Map<Long, Long> mSentRevisions = new TreeMap<>();
    private List<Heartbeat> mPendingHeartbeats = new ArrayList<>();
    private List<Heartbeat> mHeartbeatsInConfirmation = List.of();
    private long mLastConfirmation;
    private boolean mLeads;
    private Optional<ControlAddress> mLeader = Optional.empty();
    private long mPreviousLeasesUntilMilliseconds;
    private long mRevision;
    private String mYaml = "";
    private long mInForceRevision;

    /** Creates the feed of a member that is not the leader. */
    public FeedDecider(FeedOptions options) {
        mOptions = options;
    }

    /** Processes one input and returns the effects to execute. */
    public List<FeedEffect> decide(FeedInput input, long nowMilliseconds) {
        List<FeedEffect> effects = new ArrayList<>();
        if (input instanceof RouterSent sent) {
            routerSent(effects, sent, nowMilliseconds);
        } else if (input instanceof ConnectionEnded ended) {
            mConnections.remove(ended.connection());
            mLeasedConnections.remove(ended.connection());
            mSentRevisions.remove(ended.connection());
        } else if (input instanceof LeadershipChanged changed) {
            leadershipChanged(effects, changed, nowMilliseconds);
        } else if (input instanceof ConfirmationEnded ended) {
            confirmationEnded(effects, ended, nowMilliseconds);
        } else if (input instanceof RetainedMessageChanged changed) {
            retain(effects, changed.message(), changed.update());
        } else if (input instanceof LeaderMessageChanged changed) {
            leaderMessageChanged(effects, changed);
        } else if (input instanceof MessageForRouter message) {
            sendTo(effects, message);
        } else if (input instanceof RevisionCommitted committed) {
            mRevision = committed.revision();
            mYaml = committed.yaml();
        }
        removeSilentRouters(nowMilliseconds);
        reportInForce(effects, nowMilliseconds);
        return effects;
    }

    /** Returns a snapshot of the feed. */
    public FeedStatus status(long nowMilliseconds) {
        return new FeedStatus(
                mLeads, mInForceRevision, nowMilliseconds, List.copyOf(mRouters.values()));
    }

    private void routerSent(List<FeedEffect> effects, RouterSent sent, long nowMilliseconds) {
        FeedMessage message = sent.message();
        if (message instanceof RouterHello hello) {
            hello(sent.connection(), hello, nowMilliseconds);
        } else if (!mConnections.containsKey(sent.connection())) {
            effects.add(new Close(sent.connection(), "the first message was not a hello"));
        } else if (message instanceof RouterHeartbeat heartbeat) {
            handleHeartbeat(effects, sent.connection(), heartbeat, nowMilliseconds);
        } else if (message instanceof SetRequest request) {
            setRequested(effects, sent.connection(), request);
        } else if (message instanceof SliceMessage slice) {
            sliceMessageSent(effects, sent.connection(), slice);
        } else {
            effects.add(new Close(sent.connection(), "routers must not send this message"));
        }
    }

    private void hello(long connection, RouterHello hello, long nowMilliseconds) {
        mConnections.put(connection, hello);
        mRouters.putIfAbsent(
                RouterKey.of(hello), RouterRecord.withoutLease(hello, nowMilliseconds));
    }

    private void handleHeartbeat(
            List<FeedEffect> effects,
            long connection,
            RouterHeartbeat heartbeat,
            long nowMilliseconds) {
        if (!mLeads) {
            effects.add(new Send(connection, new NotLeader(mLeader)));
            return;
        }
        RouterHello hello = mConnections.get(connection);
        RouterRecord known =
                mRouters.getOrDefault(
                        RouterKey.of(hello), RouterRecord.withoutLease(hello, nowMilliseconds));
        mRouters.put(
                RouterKey.of(hello), known.withHeartbeat(heartbeat.revision(), nowMilliseconds));
        mPendingHeartbeats.add(new Heartbeat(connection, heartbeat.sequence()));
        startConfirmation(effects);
    }

    private void startConfirmation(List<FeedEffect> effects) {
        if (mHeartbeatsInConfirmation.isEmpty() && !mPendingHeartbeats.isEmpty()) {
            mHeartbeatsInConfirmation = mPendingHeartbeats;
            mPendingHeartbeats = new ArrayList<>();
            mLastConfirmation++;
            effects.add(new Confirm(mLastConfirmation));
        }
    }

    private void confirmationEnded(
            List<FeedEffect> effects, ConfirmationEnded ended, long nowMilliseconds) {
        if (ended.confirmation() != mLastConfirmation) {
            return;
        }
        List<Heartbeat> heartbeats = mHeartbeatsInConfirmation;
        mHeartbeatsInConfirmation = List.of();
        for (Heartbeat heartbeat : heartbeats) {
            boolean confirmed = ended.confirmed() && mLeads;
            respond(effects, heartbeat, confirmed, nowMilliseconds);
        }
        startConfirmation(effects);
    }

    private void respond(
            List<FeedEffect> effects,
            Heartbeat heartbeat,
            boolean confirmed,
            long nowMilliseconds) {
        RouterHello hello = mConnections.get(heartbeat.connection());
        if (hello == null) {
            return;
        }
        if (!confirmed) {
            Optional<ControlAddress> leader = mLeads ? Optional.empty() : mLeader;
            effects.add(new Send(heartbeat.connection(), new NotLeader(leader)));
            return;
        }
        if (mLeasedConnections.add(heartbeat.connection())) {
            mRetainedMessages
                    .values()
                    .forEach(m -> effects.add(new Send(heartbeat.connection(), m)));
            effects.add(new ReportConnected(hello.vm(), hello.incarnation()));
        }
        long untilMilliseconds = nowMilliseconds + mOptions.safeExpiryMilliseconds();
        mRouters.computeIfPresent(
                RouterKey.of(hello), (key, router) -> router.withLease(untilMilliseconds));
        FeedMessage lease =
                new ServingLease(heartbeat.sequence(), mRevision, mOptions.leaseMilliseconds());
        effects.add(new Send(heartbeat.connection(), lease));
    }

    /** Sends a message on the latest connection of the router. */
    private void sendTo(List<FeedEffect> effects, MessageForRouter message) {
        RouterKey target = new RouterKey(message.vm(), message.incarnation());
        mConnections.entrySet().stream()
                .filter(entry -> RouterKey.of(entry.getValue()).equals(target))
                .mapToLong(Map.Entry::getKey)
                .max()
                .ifPresent(c -> effects.add(new Send(c, message.message())));
    }

    private void leaderMessageChanged(List<FeedEffect> effects, LeaderMessageChanged changed) {
        if (mLeads) {
            mLeaderSlices.add(changed.message().slice());
            retain(effects, changed.message(), changed.update());
        }
    }

    private void retain(List<FeedEffect> effects, SliceMessage message, SliceMessage update) {
        mRetainedMessages.put(message.slice(), message);
        if (mLeads) {
            mLeasedConnections.forEach(c -> effects.add(new Send(c, update)));
        }
    }

    /**
     * Sends the set unless it is on its way already: a router repeats its request until the set has
     * arrived.
     */
    private void setRequested(List<FeedEffect> effects, long connection, SetRequest request) {
        long sentRevision = mSentRevisions.getOrDefault(connection, 0L);
        if (request.knownRevision() < mRevision && sentRevision < mRevision) {
            mSentRevisions.put(connection, mRevision);
            effects.add(new Send(connection, new SetDocument(mRevision, mYaml)));
        }
    }

    private void sliceMessageSent(List<FeedEffect> effects, long connection, SliceMessage message) {
        if (mOptions.ownedSlices().contains(message.slice()) && mLeads) {
            RouterHello hello = mConnections.get(connection);
            effects.add(
                    new Forward(
                            hello.vm(), hello.incarnation(), message.slice(), message.payload()));
            return;
        }
        Predicate<byte[]> allowed = mOptions.replicatedSlices().get(message.slice());
        boolean owned = mOptions.ownedSlices().contains(message.slice());
        if (!owned && (allowed == null || !allowed.test(message.payload()))) {
            effects.add(
                    new Close(
                            connection,
                            "routers must not send this message of slice " + message.slice()));
        } else if (mLeads) {
            effects.add(new Propose(connection, message.slice(), message.payload()));
        } else {
            effects.add(new Send(connection, new NotLeader(mLeader)));
        }
    }

    private void leadershipChanged(
            List<FeedEffect> effects, LeadershipChanged changed, long nowMilliseconds) {
        mLeader = changed.leader();
        if (changed.leads() == mLeads) {
            return;
        }
        mLeads = changed.leads();
        mRetainedMessages.keySet().removeAll(mLeaderSlices);
        mLeaderSlices.clear();
        if (mLeads) {
            mRouters.clear();
            mLeasedConnections.clear();
            mInForceRevision = 0;
            mPreviousLeasesUntilMilliseconds = nowMilliseconds + mOptions.safeExpiryMilliseconds();
        } else {
            rejectHeartbeats(effects);
        }
    }

    private void rejectHeartbeats(List<FeedEffect> effects) {
        List<Heartbeat> rejected = new ArrayList<>(mHeartbeatsInConfirmation);
        rejected.addAll(mPendingHeartbeats);
        rejected.forEach(
                heartbeat -> effects.add(new Send(heartbeat.connection(), new NotLeader(mLeader))));
        mHeartbeatsInConfirmation = List.of();
        mPendingHeartbeats = new ArrayList<>();
        mLastConfirmation++;
    }

    private void removeSilentRouters(long nowMilliseconds) {
        long oldestMilliseconds = nowMilliseconds - mOptions.retentionMilliseconds();
        mRouters.values()
                .removeIf(
                        router ->
                                !router.isLive(nowMilliseconds)
                                        && router.lastHeartbeatMilliseconds() < oldestMilliseconds);
    }

    private void reportInForce(List<FeedEffect> effects, long nowMilliseconds) {
        if (!mLeads || nowMilliseconds < mPreviousLeasesUntilMilliseconds) {
            return;
        }
        long oldestServedRevision =
                mRouters.values().stream()
                        .filter(router -> router.isLive(nowMilliseconds))
                        .mapToLong(RouterRecord::revision)
                        .min()
                        .orElse(mRevision);
        long inForce = Math.min(oldestServedRevision, mRevision);
        if (inForce > mInForceRevision) {
            mInForceRevision = inForce;
            effects.add(new ReportInForce(inForce));
        }
    }

    /** A heartbeat that waits for a leadership confirmation. */
    private record Heartbeat(long connection, long sequence) {}
}
