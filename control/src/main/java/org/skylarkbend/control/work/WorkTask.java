package org.skylarkbend.control.work;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.control.feed.LeaderInbox;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Collects the in-flight work of gateways while this member leads, and sends each gateway the work
 * of all others.
 */
public final class WorkTask extends VerticleBase {
    /** The broadcast interval without gateways. */
    private static final long BROADCAST_INTERVAL_MILLISECONDS = 100;

    /**
     * Added to the broadcast interval for each gateway, so that the load on control grows no faster
     * than the number of gateways.
     */
    private static final long EXTRA_INTERVAL_MILLISECONDS_PER_GATEWAY = 4;

    private final WorkDecider mDecider;
    private final MillisecondClock mClock;
    private final BiConsumer<RouterIdentity, byte[]> mSend;
    private final Consumer<Map<String, EndpointWork>> mOnTotal;
    private final SiteCodec mCodec = new SiteCodec();
    private Map<RouterIdentity, Map<String, EndpointWork>> mLastBroadcast = Map.of();
    private LeaderInbox mInbox;

    /**
     * Creates a task that sends nothing until this member becomes the leader.
     *
     * @param decider aggregates the work
     * @param clock a monotonic clock
     * @param send sends a payload to a gateway, without guaranteed delivery
     * @param onTotal receives the work of all gateways together before each broadcast
     */
    public WorkTask(
            WorkDecider decider,
            MillisecondClock clock,
            BiConsumer<RouterIdentity, byte[]> send,
            Consumer<Map<String, EndpointWork>> onTotal) {
        mDecider = decider;
        mClock = clock;
        mSend = send;
        mOnTotal = onTotal;
    }

    @Override
    public Future<?> start() {
        mInbox = new LeaderInbox(context, SiteCodec.WORK_SLICE, mDecider::clear, this::update);
        scheduleBroadcast(BROADCAST_INTERVAL_MILLISECONDS);
        return Future.succeededFuture();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mInbox.post(leadership);
    }

    /** Passes a message from a gateway to the task. */
    public void postMessage(RouterIdentity gateway, byte[] payload) {
        mInbox.postMessage(gateway, payload);
    }

    private void update(RouterIdentity gateway, SiteMessage message) {
        if (message instanceof WorkUnderWay work) {
            mDecider.update(gateway, work.byIncarnation(), mClock.nowMilliseconds());
        }
    }

    private void scheduleBroadcast(long afterMilliseconds) {
        vertx.setTimer(afterMilliseconds, id -> broadcast());
    }

    private void broadcast() {
        Map<RouterIdentity, Map<String, EndpointWork>> workByGateway = Map.of();
        if (mInbox.leads()) {
            mOnTotal.accept(Map.copyOf(mDecider.totalWork(mClock.nowMilliseconds())));
            workByGateway = mDecider.workOfOthers(mClock.nowMilliseconds());
        }
        long nextInMilliseconds =
                BROADCAST_INTERVAL_MILLISECONDS
                        + workByGateway.size() * EXTRA_INTERVAL_MILLISECONDS_PER_GATEWAY;
        workByGateway.forEach(
                (gateway, work) -> {
                    boolean isChanged = !work.equals(mLastBroadcast.get(gateway));
                    if (isChanged || !work.isEmpty()) {
                        mSend.accept(
                                gateway, mCodec.encode(new WorkUnderWay(work, nextInMilliseconds)));
                    }
                });
        mLastBroadcast = workByGateway;
        scheduleBroadcast(nextInMilliseconds);
    }
}
