package org.skylarkbend.control.feed;

import io.vertx.core.Context;
import java.util.function.BiConsumer;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Passes messages of gateways to a task of the leader, on the context of the task. Messages that
 * arrive while another member leads are dropped.
 */
public final class LeaderInbox {
    private static final StructuredLog LOG = StructuredLog.of(LeaderInbox.class);

    private final Context mContext;
    private final String mSlice;
    private final Runnable mOnLeadershipChange;
    private final BiConsumer<RouterIdentity, SiteMessage> mOnMessage;
    private final SiteCodec mCodec = new SiteCodec();
    private boolean mLeads;

    /**
     * Creates the inbox of a member that does not lead.
     *
     * @param context context of the task
     * @param slice name of the slice, for the log
     * @param onLeadershipChange called after each change of the leadership
     * @param onMessage receives each message with its gateway
     */
    public LeaderInbox(
            Context context,
            String slice,
            Runnable onLeadershipChange,
            BiConsumer<RouterIdentity, SiteMessage> onMessage) {
        mContext = context;
        mSlice = slice;
        mOnLeadershipChange = onLeadershipChange;
        mOnMessage = onMessage;
    }

    /** Returns whether this member leads. */
    public boolean leads() {
        return mLeads;
    }

    /** Passes on a change of the leadership. */
    public void post(Leadership leadership) {
        mContext.runOnContext(
                ignored -> {
                    mLeads = leadership.leads();
                    mOnLeadershipChange.run();
                });
    }

    /** Passes on a message from a gateway. */
    public void postMessage(RouterIdentity gateway, byte[] payload) {
        mContext.runOnContext(
                ignored ->
                        mCodec.decode(payload)
                                .match(
                                        message -> received(gateway, message),
                                        error -> logMalformed(gateway, error.detail())));
    }

    private void received(RouterIdentity gateway, SiteMessage message) {
        if (mLeads) {
            mOnMessage.accept(gateway, message);
        }
    }

    private void logMalformed(RouterIdentity gateway, String detail) {
        LOG.warn("site.message.garbled", "slice", mSlice, "vm", gateway.vm(), "detail", detail);
    }
}
