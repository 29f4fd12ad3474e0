package org.skylarkbend.gateway.link;

import com.codahale.metrics.Counter;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.CallSplits;
import org.skylarkbend.catalog.SiteMessage.ColdEndpoints;
import org.skylarkbend.catalog.SiteMessage.ControlVms;
import org.skylarkbend.catalog.SiteMessage.DataCentresEvacuated;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.catalog.SiteMessage.WeightsNamed;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutOutcomes;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.QuarantineCodec;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;
import org.skylarkbend.wire.WireOptions;

/**
 * Owns the connection to control and forwards the catalog, endpoints and limits to the gateway.
 *
 * <p>While control is unreachable or has no list of endpoints, it reads the platform's list
 * directly.
 */
public final class SiteLinkTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(SiteLinkTask.class);
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 250;

    /**
     * Timeout for opening a connection to a control VM. It is short, because VMs without power do
     * not respond and another one leads soon.
     */
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 300;

    /**
     * Time without control after which the list of endpoints is read directly, and the interval of
     * reading it.
     */
    private static final long DIRECT_LIST_INTERVAL_MILLISECONDS = 1_600;

    private final SiteLinkDecider mDecider;
    private final SiteListener mListener;
    private final CatalogReader mReader;
    private final EndpointSource mEndpoints;
    private final MillisecondClock mClock;
    private final Counter mUnreadable;
    private final LimitCodec mLimitCodec = new LimitCodec();
    private final SiteCodec mSiteCodec = new SiteCodec();
    private final EndpointLists mEndpointLists = new EndpointLists();
    private volatile Context mContext;
    private FrameDialer<FeedMessage> mDialer;
    private FrameConnection<FeedMessage> mConnection;
    private long mConfirmedMilliseconds;
    private boolean mControlReachable;
    private boolean mStopped;

    /**
     * Creates a task.
     *
     * @param decider decides when to connect and what to confirm
     * @param listener receives what control sends, on the context of the task
     * @param reader parses the documents of operators
     * @param endpoints lists the endpoints while control is out of reach
     * @param clock monotonic clock
     * @param unreadable counts messages and documents of control that cannot be decoded
     */
    public SiteLinkTask(
            SiteLinkDecider decider,
            SiteListener listener,
            CatalogReader reader,
            EndpointSource endpoints,
            MillisecondClock clock,
            Counter unreadable) {
        mDecider = decider;
        mListener = listener;
        mReader = reader;
        mEndpoints = endpoints;
        mClock = clock;
        mUnreadable = unreadable;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        mDialer =
                new FrameDialer<>(
                        vertx,
                        new FeedCodec(),
                        WireOptions.plain().withConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS),
                        mClock);
        mConfirmedMilliseconds = mClock.nowMilliseconds();
        vertx.setPeriodic(
                HEARTBEAT_INTERVAL_MILLISECONDS, id -> handle(new SiteLinkMessage.HeartbeatDue()));
        vertx.setPeriodic(DIRECT_LIST_INTERVAL_MILLISECONDS, id -> listDirectly());
        handle(new SiteLinkMessage.Started());
        return Future.succeededFuture();
    }

    @Override
    public Future<?> stop() {
        mStopped = true;
        return mDialer.close();
    }

    /** Sends a message to the limit owner. The message is lost if no connection is open. */
    public void sendToLimitOwner(LimitMessage message) {
        SliceMessage slice = new SliceMessage(LimitCodec.SLICE, mLimitCodec.encode(message));
        post(new SiteLinkMessage.SliceToSend(slice));
    }

    /**
     * Sends the work in flight of this gateway to control. The message is lost if no connection is
     * open.
     */
    public void sendWork(WorkUnderWay work) {
        SliceMessage slice = new SliceMessage(SiteCodec.WORK_SLICE, mSiteCodec.encode(work));
        post(new SiteLinkMessage.SliceToSend(slice));
    }

    /**
     * Sends the outcomes of calls during a rollout to control. The message is lost if no connection
     * is open.
     */
    public void sendOutcomes(RolloutOutcomes outcomes) {
        SliceMessage slice =
                new SliceMessage(RolloutCodec.SLICE, RolloutCodec.encodeOutcomes(outcomes));
        post(new SiteLinkMessage.SliceToSend(slice));
    }

    /**
     * Sends the evidence about crashes of engines to control. The message is lost if no connection
     * is open.
     */
    public void sendCrashEvidence(CrashEvidence evidence) {
        SliceMessage slice =
                new SliceMessage(QuarantineCodec.SLICE, QuarantineCodec.encodeEvidence(evidence));
        post(new SiteLinkMessage.SliceToSend(slice));
    }

    /**
     * Sends the offer of this gateway to open connections for others to control. The message is
     * lost if no connection is open.
     */
    public void sendRelayOffer(RelayOffered offer) {
        SliceMessage slice = new SliceMessage(SiteCodec.RELAY_SLICE, mSiteCodec.encode(offer));
        post(new SiteLinkMessage.SliceToSend(slice));
    }

    /** Replaces the seeds after a change of the settings. May be called from any thread. */
    public void postSeeds(List<String> hosts) {
        post(new SiteLinkMessage.SeedsChanged(hosts));
    }

    /** Passes a message to the task. It is lost if the task has not started. */
    private void post(SiteLinkMessage message) {
        Context target = mContext;
        if (target != null) {
            target.runOnContext(ignored -> handle(message));
        }
    }

    private void handle(SiteLinkMessage message) {
        if (!mStopped) {
            Effects.executeEach(mDecider.decide(message, mClock.nowMilliseconds()), this::apply);
        }
    }

    private void apply(SiteLinkEffect effect) {
        if (effect instanceof SiteLinkEffect.Dial dial) {
            dial(dial);
        } else if (effect instanceof SiteLinkEffect.Send send && mConnection != null) {
            mConnection.send(send.message());
        } else if (effect instanceof SiteLinkEffect.Close close && mConnection != null) {
            LOG.debug("link.closed", "cause", close.cause());
            mConnection.close();
        } else if (effect instanceof SiteLinkEffect.ApplyDocument document) {
            applyDocument(document);
        } else if (effect instanceof SiteLinkEffect.DeliverToSlice slice) {
            deliverSlice(slice.message());
        } else if (effect instanceof SiteLinkEffect.Confirmed) {
            confirmed();
        }
    }

    private void confirmed() {
        mConfirmedMilliseconds = mClock.nowMilliseconds();
        if (!mControlReachable) {
            mControlReachable = true;
            LOG.info("link.control.reached");
        }
        mEndpointLists.controlReached().ifPresent(mListener::endpointsChanged);
    }

    /**
     * Reads a document off the event loop, which serves calls meanwhile. Documents are read in the
     * order of their arrival.
     */
    private void applyDocument(SiteLinkEffect.ApplyDocument document) {
        long number = document.number();
        byte[] bytes = document.text().getBytes(StandardCharsets.UTF_8);
        vertx.executeBlocking(() -> mReader.readPublished(bytes))
                .onSuccess(catalog -> catalogRead(number, catalog))
                .onFailure(e -> LOG.error(e, "catalog.unread", "number", number, "cause", e));
    }

    private void catalogRead(long number, Result<Catalog> result) {
        result.match(
                mListener::catalogChanged,
                error -> {
                    mUnreadable.inc();
                    LOG.warn("catalog.refused", "number", number, "detail", error.detail());
                });
        handle(new SiteLinkMessage.DocumentRead(number));
    }

    private void deliverSlice(SliceMessage message) {
        if (message.slice().equals(LimitCodec.SLICE)) {
            mLimitCodec
                    .decode(message.payload())
                    .match(
                            mListener::limitMessageReceived,
                            error -> logMalformed(message, error.detail()));
        } else if (message.slice().equals(QuarantineCodec.SLICE)) {
            QuarantineCodec.decodeNotice(message.payload())
                    .match(
                            mListener::quarantineChanged,
                            error -> logMalformed(message, error.detail()));
        } else {
            mSiteCodec
                    .decode(message.payload())
                    .match(this::handleSiteMessage, error -> logMalformed(message, error.detail()));
        }
    }

    private void handleSiteMessage(SiteMessage message) {
        if (message instanceof ControlVms vms) {
            handle(new SiteLinkMessage.ControlVmsListed(vms.addresses()));
        } else if (message instanceof EndpointsListed listed) {
            mListener.endpointsChanged(mEndpointLists.listed(listed));
        } else if (message instanceof EndpointsChanged changed) {
            endpointsChanged(changed);
        } else if (message instanceof CallSplits splits) {
            mListener.splitsChanged(splits.splits());
        } else if (message instanceof WeightsNamed named) {
            mListener.weightsNamed(named.versions());
        } else if (message instanceof WorkUnderWay work) {
            mListener.otherWorkChanged(work);
        } else if (message instanceof ColdEndpoints cold) {
            mListener.coldEndpointsChanged(cold);
        } else if (message instanceof DataCentresEvacuated evacuated) {
            mListener.evacuationsChanged(evacuated.dataCentres());
        } else if (message instanceof RelaysListed listed) {
            mListener.relaysListed(listed);
        }
    }

    /**
     * Applies a change of the list of endpoints. If the list before it is not known here, the
     * connection is closed, because a new connection begins with the whole list.
     */
    private void endpointsChanged(EndpointsChanged changed) {
        long knownNumber = mEndpointLists.number();
        mEndpointLists
                .changed(changed)
                .ifPresentOrElse(
                        mListener::endpointsChanged,
                        () -> changeMissed(knownNumber, changed.number()));
    }

    private void changeMissed(long knownNumber, long receivedNumber) {
        LOG.warn(
                "link.endpoints.gap",
                "known_number",
                knownNumber,
                "received_number",
                receivedNumber);
        apply(new SiteLinkEffect.Close("a change of the list of endpoints was missed"));
    }

    private void logMalformed(SliceMessage message, String detail) {
        mUnreadable.inc();
        LOG.warn("link.message.garbled", "slice", message.slice(), "detail", detail);
    }

    private void listDirectly() {
        long silentMilliseconds = mClock.nowMilliseconds() - mConfirmedMilliseconds;
        boolean isSilent = silentMilliseconds >= DIRECT_LIST_INTERVAL_MILLISECONDS;
        if (mStopped || !isSilent && mEndpointLists.isOfControlKnown()) {
            return;
        }
        if (mControlReachable && isSilent) {
            mControlReachable = false;
            LOG.warn("link.control.lost", "silent_milliseconds", silentMilliseconds);
        }
        long read = mEndpointLists.directReadStarted();
        mEndpoints
                .list()
                .onSuccess(
                        result ->
                                result.match(
                                        endpoints -> listed(read, endpoints),
                                        error -> LOG.warn("link.list", "detail", error.detail())));
    }

    private void listed(long read, List<Endpoint> endpoints) {
        mEndpointLists
                .readDirectly(read, endpoints)
                .ifPresentOrElse(mListener::endpointsChanged, () -> LOG.info("link.list.outdated"));
    }

    private void dial(SiteLinkEffect.Dial dial) {
        if (dial.delayMilliseconds() == 0) {
            connect(dial);
        } else {
            vertx.setTimer(dial.delayMilliseconds(), id -> connect(dial));
        }
    }

    private void connect(SiteLinkEffect.Dial dial) {
        if (mStopped) {
            return;
        }
        mDialer.dial(dial.address().host(), dial.address().port())
                .onSuccess(this::connected)
                .onFailure(e -> handle(new SiteLinkMessage.Disconnected()));
    }

    private void connected(FrameConnection<FeedMessage> connection) {
        mConnection = connection;
        connection.onMessage(message -> handle(new SiteLinkMessage.Received(message)));
        connection.onClose(
                () -> {
                    mConnection = null;
                    mEndpointLists.disconnected();
                    handle(new SiteLinkMessage.Disconnected());
                });
        handle(new SiteLinkMessage.Connected());
    }
}
