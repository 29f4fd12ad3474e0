package org.skylarkbend.control.relays;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.control.feed.LeaderInbox;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Collects the offers of gateways while this member leads, and announces the list of those that
 * open connections for others when it changes.
 */
public final class RelayTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(RelayTask.class);

    /** Shortest time between two announcements. Gateways that are cut off wait for the next. */
    private static final long ANNOUNCE_MILLISECONDS = 250;

    private final RelayDecider mDecider;
    private final MillisecondClock mClock;
    private final Consumer<RelaysListed> mAnnounce;
    private LeaderInbox mInbox;

    /**
     * Creates a task that announces nothing until this member becomes the leader.
     *
     * @param decider collects the offers
     * @param clock monotonic clock
     * @param announce sends a list to all present and future gateways
     */
    public RelayTask(
            RelayDecider decider, MillisecondClock clock, Consumer<RelaysListed> announce) {
        mDecider = decider;
        mClock = clock;
        mAnnounce = announce;
    }

    @Override
    public Future<?> start() {
        mInbox = new LeaderInbox(context, SiteCodec.RELAY_SLICE, mDecider::clear, this::received);
        vertx.setPeriodic(ANNOUNCE_MILLISECONDS, id -> announceChange());
        return Future.succeededFuture();
    }

    /** Notifies the task of a change of the leadership. */
    public void post(Leadership leadership) {
        mInbox.post(leadership);
    }

    /** Passes a message from a gateway to the task. */
    public void postMessage(RouterIdentity gateway, byte[] payload) {
        mInbox.postMessage(gateway, payload);
    }

    private void received(RouterIdentity gateway, SiteMessage message) {
        if (message instanceof RelayOffered offer) {
            mDecider.offered(gateway, offer, mClock.nowMilliseconds());
        }
    }

    private void announceChange() {
        if (mInbox.leads()) {
            mDecider.changedRelays(mClock.nowMilliseconds()).ifPresent(this::announce);
        }
    }

    private void announce(RelaysListed listed) {
        LOG.info(
                "relays.announced",
                "relays",
                listed.relays().size(),
                "gateways",
                listed.gateways());
        mAnnounce.accept(listed);
    }
}
