package org.skylarkbend.router.link;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.access.AccessDecider;
import org.skylarkbend.publishing.PublishedRevision;
import org.skylarkbend.publishing.PublishedSet;
import org.skylarkbend.publishing.SetReader;
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
 * Decides which control VM to connect to, and which published set the router serves until when.
 *
 * <p>A lease starts when its heartbeat was sent. It applies only if the router has the revision
 * named by the lease; otherwise the router requests the set first. Leases and sets of revisions
 * older than the newest one seen are ignored. Not thread-safe; confined to one task.
 */
public final class ControlLinkDecider {
    private static final long RECONNECT_DELAY_MILLISECONDS = 200;
    private static final long LEADER_TIMEOUT_MILLISECONDS = 2_500;
    private static final int MAX_PENDING_HEARTBEATS = 16;

    private final RouterHello mHello;
    private final List<ControlAddress> mAddresses;
    private final Map<Long, Long> mHeartbeatSentMilliseconds = new LinkedHashMap<>();
    private int mNextAddressIndex;
    private boolean mConnected;
    private long mSequence;
    private long mMinRevision;
    private long mLastLeaseMilliseconds;
    private ServingLease mPendingLease = new ServingLease(0, 0, 0);
    private long mPendingUntilMilliseconds = Long.MIN_VALUE;
    private ServingView mView = ServingView.none();

    /** Creates a decider for connections to the given control VMs. */
    public ControlLinkDecider(RouterHello hello, List<ControlAddress> addresses) {
        mHello = hello;
        mAddresses = List.copyOf(addresses);
    }

    /** Processes one message and returns the resulting effects. */
    public List<ControlLinkEffect> decide(ControlLinkMessage message, long nowMilliseconds) {
        List<ControlLinkEffect> effects = new ArrayList<>();
        if (message instanceof ControlLinkMessage.Started) {
            dialNext(0, effects);
        } else if (message instanceof ControlLinkMessage.Connected) {
            connected(nowMilliseconds, effects);
        } else if (message instanceof ControlLinkMessage.Disconnected) {
            mConnected = false;
            dialNext(RECONNECT_DELAY_MILLISECONDS, effects);
        } else if (message instanceof ControlLinkMessage.HeartbeatDue) {
            sendHeartbeat(nowMilliseconds, effects);
        } else if (message instanceof ControlLinkMessage.Received received) {
            receive(received.message(), nowMilliseconds, effects);
        } else if (message instanceof ControlLinkMessage.SendSliceMessage slice) {
            send(slice.message(), effects);
        } else if (message instanceof ControlLinkMessage.PeerSnapshot snapshot) {
            handlePeerSnapshot(snapshot, nowMilliseconds, effects);
        }
        return effects;
    }

    private void connected(long nowMilliseconds, List<ControlLinkEffect> effects) {
        mConnected = true;
        mLastLeaseMilliseconds = nowMilliseconds;
        send(mHello, effects);
        sendHeartbeat(nowMilliseconds, effects);
    }

    private void sendHeartbeat(long nowMilliseconds, List<ControlLinkEffect> effects) {
        if (!mConnected) {
            return;
        }
        if (nowMilliseconds - mLastLeaseMilliseconds > LEADER_TIMEOUT_MILLISECONDS) {
            effects.add(new ControlLinkEffect.Close("no lease received"));
            return;
        }
        mSequence++;
        mHeartbeatSentMilliseconds.put(mSequence, nowMilliseconds);
        if (mHeartbeatSentMilliseconds.size() > MAX_PENDING_HEARTBEATS) {
            mHeartbeatSentMilliseconds.remove(
                    mHeartbeatSentMilliseconds.keySet().iterator().next());
        }
        send(new RouterHeartbeat(mSequence, mView.published().revision()), effects);
    }

    private void receive(
            FeedMessage message, long nowMilliseconds, List<ControlLinkEffect> effects) {
        if (message instanceof ServingLease lease) {
            handleLease(lease, nowMilliseconds, effects);
        } else if (message instanceof SetDocument document) {
            handleSet(document.revision(), document.yaml(), nowMilliseconds, effects);
        } else if (message instanceof NotLeader notLeader) {
            notLeader.leader().map(mAddresses::indexOf).ifPresent(this::preferAddress);
            effects.add(new ControlLinkEffect.Close("not the leader"));
        } else if (message instanceof SliceMessage slice) {
            effects.add(new ControlLinkEffect.DispatchToSlice(slice));
        }
    }

    private void handleLease(
            ServingLease lease, long nowMilliseconds, List<ControlLinkEffect> effects) {
        Long sentMilliseconds = mHeartbeatSentMilliseconds.remove(lease.sequence());
        if (sentMilliseconds == null || lease.revision() < mMinRevision) {
            return;
        }
        mLastLeaseMilliseconds = nowMilliseconds;
        mMinRevision = lease.revision();
        mPendingLease = lease;
        mPendingUntilMilliseconds = sentMilliseconds + lease.leaseMilliseconds();
        if (lease.revision() > mView.published().revision()) {
            send(new SetRequest(mView.published().revision()), effects);
        } else {
            extendLease(effects);
        }
    }

    private void extendLease(List<ControlLinkEffect> effects) {
        long revision = mView.published().revision();
        if (mPendingLease.revision() == revision
                && mPendingUntilMilliseconds > mView.leaseUntilMilliseconds()) {
            serve(mView.published(), mView.access(), mPendingUntilMilliseconds, effects);
        }
    }

    private void handleSet(
            long revision, String yaml, long nowMilliseconds, List<ControlLinkEffect> effects) {
        if (revision < mMinRevision || revision <= mView.published().revision()) {
            return;
        }
        SetReader.readText("revision " + revision, yaml)
                .match(
                        set -> {
                            putInForce(new PublishedRevision(revision, set, yaml), effects);
                            sendHeartbeat(nowMilliseconds, effects);
                        },
                        error ->
                                effects.add(
                                        new ControlLinkEffect.LogRejectedSet(
                                                revision, error.detail())));
    }

    private void putInForce(PublishedRevision published, List<ControlLinkEffect> effects) {
        mMinRevision = published.revision();
        PublishedSet set = published.set();
        serve(published, new AccessDecider(set), mView.leaseUntilMilliseconds(), effects);
        extendLease(effects);
    }

    private void handlePeerSnapshot(
            ControlLinkMessage.PeerSnapshot snapshot,
            long nowMilliseconds,
            List<ControlLinkEffect> effects) {
        if (snapshot.revision() < mMinRevision
                || snapshot.revision() <= mView.published().revision()) {
            return;
        }
        handleSet(snapshot.revision(), snapshot.yaml(), nowMilliseconds, effects);
        boolean applied = mView.published().revision() == snapshot.revision();
        if (applied && snapshot.leaseUntilMilliseconds() > mView.leaseUntilMilliseconds()) {
            serve(mView.published(), mView.access(), snapshot.leaseUntilMilliseconds(), effects);
        }
    }

    private void serve(
            PublishedRevision published,
            AccessDecider access,
            long leaseUntilMilliseconds,
            List<ControlLinkEffect> effects) {
        mView = new ServingView(published, access, leaseUntilMilliseconds);
        effects.add(new ControlLinkEffect.Serve(mView));
    }

    private void send(FeedMessage message, List<ControlLinkEffect> effects) {
        if (mConnected) {
            effects.add(new ControlLinkEffect.Send(message));
        }
    }

    private void preferAddress(int index) {
        if (index >= 0) {
            mNextAddressIndex = index;
        }
    }

    private void dialNext(long delayMilliseconds, List<ControlLinkEffect> effects) {
        ControlAddress address = mAddresses.get(mNextAddressIndex % mAddresses.size());
        mNextAddressIndex = (mNextAddressIndex + 1) % mAddresses.size();
        effects.add(new ControlLinkEffect.Dial(address, delayMilliseconds));
    }
}
