package org.skylarkbend.gateway.link;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Decides which control VM to connect to and when to fetch the catalog.
 *
 * <p>A gateway starts with the control VMs of its settings and learns the others from the leader. A
 * catalog whose number is not above the highest one seen is ignored. The state is confined to one
 * task.
 */
public final class SiteLinkDecider {
    private static final long RECONNECT_DELAY_MILLISECONDS = 50;
    private static final long LEADER_TIMEOUT_MILLISECONDS = 700;

    private final RouterHello mHello;
    private final int mFeedPort;
    private List<String> mSeeds;
    private List<String> mDiscovered = List.of();
    private Optional<ControlAddress> mLeaderHint = Optional.empty();
    private int mNextAddress;
    private boolean mConnected;
    private long mSequence;
    private long mCatalogNumber;
    private long mInForceNumber;
    private long mLastConfirmedMilliseconds;

    /**
     * Creates the state of a link that is not connected.
     *
     * @param hello first message on each connection
     * @param seeds hosts of some control VMs
     * @param feedPort port on which control VMs accept connections of gateways
     */
    public SiteLinkDecider(RouterHello hello, List<String> seeds, int feedPort) {
        mHello = hello;
        mFeedPort = feedPort;
        mSeeds = List.copyOf(seeds);
    }

    /** Handles a message and returns the effects to execute, in order. */
    public List<SiteLinkEffect> decide(SiteLinkMessage message, long nowMilliseconds) {
        List<SiteLinkEffect> effects = new ArrayList<>();
        if (message instanceof SiteLinkMessage.Started) {
            effects.add(new SiteLinkEffect.Dial(nextAddress(), 0));
        } else if (message instanceof SiteLinkMessage.Connected) {
            mConnected = true;
            mLastConfirmedMilliseconds = nowMilliseconds;
            effects.add(new SiteLinkEffect.Send(mHello));
            heartbeat(nowMilliseconds, effects);
        } else if (message instanceof SiteLinkMessage.Disconnected) {
            mConnected = false;
            boolean hasLeaderHint = mLeaderHint.isPresent();
            effects.add(
                    new SiteLinkEffect.Dial(
                            nextAddress(), hasLeaderHint ? 0 : RECONNECT_DELAY_MILLISECONDS));
        } else if (message instanceof SiteLinkMessage.HeartbeatDue && mConnected) {
            heartbeat(nowMilliseconds, effects);
        } else if (message instanceof SiteLinkMessage.Received received) {
            receive(received.message(), nowMilliseconds, effects);
        } else if (message instanceof SiteLinkMessage.SliceToSend slice && mConnected) {
            effects.add(new SiteLinkEffect.Send(slice.message()));
        } else if (message instanceof SiteLinkMessage.ControlVmsListed listed) {
            mDiscovered = listed.hosts();
        } else if (message instanceof SiteLinkMessage.DocumentRead read) {
            mInForceNumber = Math.max(mInForceNumber, read.number());
        } else if (message instanceof SiteLinkMessage.SeedsChanged changed) {
            mSeeds = changed.hosts();
        }
        return effects;
    }

    private void heartbeat(long nowMilliseconds, List<SiteLinkEffect> effects) {
        if (nowMilliseconds - mLastConfirmedMilliseconds > LEADER_TIMEOUT_MILLISECONDS) {
            effects.add(new SiteLinkEffect.Close("the leader sent no confirmation in time"));
            return;
        }
        mSequence++;
        effects.add(new SiteLinkEffect.Send(new RouterHeartbeat(mSequence, mInForceNumber)));
    }

    private void receive(FeedMessage message, long nowMilliseconds, List<SiteLinkEffect> effects) {
        if (message instanceof ServingLease lease) {
            mLastConfirmedMilliseconds = nowMilliseconds;
            if (lease.revision() > mCatalogNumber) {
                effects.add(new SiteLinkEffect.Send(new SetRequest(mCatalogNumber)));
            } else {
                effects.add(new SiteLinkEffect.Confirmed());
            }
        } else if (message instanceof SetDocument document
                && document.revision() > mCatalogNumber) {
            mCatalogNumber = document.revision();
            effects.add(new SiteLinkEffect.ApplyDocument(mCatalogNumber, document.yaml()));
            effects.add(new SiteLinkEffect.Confirmed());
        } else if (message instanceof NotLeader notLeader) {
            mLeaderHint = notLeader.leader();
            effects.add(new SiteLinkEffect.Close("not the leader"));
        } else if (message instanceof SliceMessage slice) {
            effects.add(new SiteLinkEffect.DeliverToSlice(slice));
        }
    }

    /** Returns the leader if one was named, otherwise the next control VM in round-robin order. */
    private ControlAddress nextAddress() {
        if (mLeaderHint.isPresent()) {
            ControlAddress leader = mLeaderHint.get();
            mLeaderHint = Optional.empty();
            return leader;
        }
        Set<String> known = new LinkedHashSet<>(mSeeds);
        known.addAll(mDiscovered);
        List<String> all = List.copyOf(known);
        return new ControlAddress(all.get(mNextAddress++ % all.size()), mFeedPort);
    }
}
