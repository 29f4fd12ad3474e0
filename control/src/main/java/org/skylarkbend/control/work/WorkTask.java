package org.skylarkbend.control.work;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.limits.RouterIdentity;

/** Takes what gateways have under way while this member leads, and tells them of one another. */
public final class WorkTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(WorkTask.class);

    /** How often a few gateways are told. */
    private static final long TELL_MILLISECONDS = 100;

    /** Each gateway makes a round longer, so that the cost of control grows no faster than it. */
    private static final long TELL_MILLISECONDS_PER_GATEWAY = 4;

    private final WorkDecider mDecider;
    private final MillisecondClock mClock;
    private final BiConsumer<RouterIdentity, byte[]> mSend;
    private final SiteCodec mCodec = new SiteCodec();
    private Map<RouterIdentity, WorkUnderWay> mTold = new HashMap<>();
    private Context mContext;
    private boolean mLeads;

    /**
     * A task that tells nothing until this member leads.
     *
     * @param decider adds up
     * @param clock a clock that never steps back
     * @param send sends a payload to a gateway; it may be lost
     */
    public WorkTask(
            WorkDecider decider, MillisecondClock clock, BiConsumer<RouterIdentity, byte[]> send) {
        mDecider = decider;
        mClock = clock;
        mSend = send;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        tellLater(TELL_MILLISECONDS);
        return Future.succeededFuture();
    }

    /** Tells the task who leads. */
    public void post(Leadership leadership) {
        mContext.runOnContext(
                nothing -> {
                    mLeads = leadership.leads();
                    mDecider.clear();
                });
    }

    /** Hands on what a gateway said. */
    public void postMessage(RouterIdentity gateway, byte[] payload) {
        mContext.runOnContext(
                nothing ->
                        mCodec.decode(payload)
                                .match(
                                        message -> take(gateway, message),
                                        error ->
                                                LOG.warn(
                                                        "work.garbled",
                                                        "vm",
                                                        gateway.vm(),
                                                        "detail",
                                                        error.detail())));
    }

    private void take(RouterIdentity gateway, SiteMessage message) {
        if (mLeads && message instanceof WorkUnderWay work) {
            mDecider.take(gateway, work.byIncarnation(), mClock.nowMilliseconds());
        }
    }

    private void tellLater(long afterMilliseconds) {
        vertx.setTimer(afterMilliseconds, id -> tell());
    }

    private void tell() {
        Map<RouterIdentity, WorkUnderWay> told = new HashMap<>();
        if (mLeads) {
            mDecider.others(mClock.nowMilliseconds())
                    .forEach((gateway, work) -> told.put(gateway, new WorkUnderWay(work)));
        }
        told.forEach(
                (gateway, work) -> {
                    boolean isNews = !work.equals(mTold.get(gateway));
                    if (isNews || !work.byIncarnation().isEmpty()) {
                        mSend.accept(gateway, mCodec.encode(work));
                    }
                });
        mTold = told;
        tellLater(TELL_MILLISECONDS + told.size() * TELL_MILLISECONDS_PER_GATEWAY);
    }
}
