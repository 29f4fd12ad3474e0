package org.skylarkbend.control.site;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.skylarkbend.agreement.AgreementOptions;
import org.skylarkbend.agreement.AgreementStatus;
import org.skylarkbend.agreement.AgreementStorage;
import org.skylarkbend.agreement.AgreementTask;
import org.skylarkbend.agreement.FileOperations;
import org.skylarkbend.agreement.LeaveOutcome;
import org.skylarkbend.agreement.MemberAddress;
import org.skylarkbend.agreement.MemberDirectory;
import org.skylarkbend.agreement.MemberId;
import org.skylarkbend.agreement.MemberRole;
import org.skylarkbend.agreement.Membership;
import org.skylarkbend.agreement.MembershipRules;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.SiteCodec;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.catalog.SiteMessage;
import org.skylarkbend.catalog.SiteMessage.ColdEndpoints;
import org.skylarkbend.catalog.SiteMessage.ControlVms;
import org.skylarkbend.catalog.SiteMessage.DataCentresEvacuated;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.catalog.SiteMessage.WeightsNamed;
import org.skylarkbend.control.AgreementControlLog;
import org.skylarkbend.control.AppliedState;
import org.skylarkbend.control.feed.FeedDecider;
import org.skylarkbend.control.feed.FeedEffect.Forward;
import org.skylarkbend.control.feed.FeedEffect.ReportConnected;
import org.skylarkbend.control.feed.FeedInput.LeaderMessageChanged;
import org.skylarkbend.control.feed.FeedInput.LeadershipChanged;
import org.skylarkbend.control.feed.FeedInput.MessageForRouter;
import org.skylarkbend.control.feed.FeedInput.RetainedMessageChanged;
import org.skylarkbend.control.feed.FeedInput.RevisionCommitted;
import org.skylarkbend.control.feed.FeedOptions;
import org.skylarkbend.control.feed.FeedTask;
import org.skylarkbend.control.limits.LimitOwnerTask;
import org.skylarkbend.control.limits.LimitRegistrySlice;
import org.skylarkbend.control.log.ControlChange;
import org.skylarkbend.control.log.ControlChange.LimitRegistryChanged;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.ControlStateMachine;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.quarantine.QuarantineTask;
import org.skylarkbend.control.relays.RelayDecider;
import org.skylarkbend.control.relays.RelayTask;
import org.skylarkbend.control.rollout.RolloutTask;
import org.skylarkbend.control.work.WorkDecider;
import org.skylarkbend.control.work.WorkTask;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutState;
import org.skylarkbend.orders.weights.WeightsDecider;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.quarantine.QuarantineCodec;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.wire.WireOptions;

/**
 * The control process of a site. It runs the replicated log with member discovery, the gateway
 * feed, the limit owner, the aggregation of gateway work, the rollouts, the quarantine of prompt
 * parts and the engine orders as separate tasks.
 */
public final class SiteControlProcess {
    private static final StructuredLog LOG = StructuredLog.of(SiteControlProcess.class);
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final AgreementOptions OPTIONS = AgreementOptions.lowLatency();

    /**
     * The time for which a gateway may serve after the last confirmation that its catalog is up to
     * date.
     */
    private static final long SERVING_LEASE_MILLISECONDS = 5_000;

    private final SiteControlParts mParts;
    private final SiteOperatorService mOperators;
    private final FeedTask mFeed;
    private final LimitOwnerTask mLimits;
    private final EndpointsTask mEndpoints;
    private final WorkTask mWork;
    private final RolloutTask mRollouts;
    private final QuarantineTask mQuarantine;
    private final RelayTask mRelays;
    private final ControlLog mLog = new AgreementControlLog(() -> this.mAgreement);
    private Context mOperatorContext;
    private AgreementTask mAgreement;
    private volatile boolean mStarted;
    private long mTermAtStart;
    private long mEndpointListNumber;
    private ColdEndpoints mCold = new ColdEndpoints(Map.of());

    /** Creates the tasks without starting them. */
    public SiteControlProcess(SiteControlParts parts) {
        mParts = parts;
        MillisecondClock wall = MillisecondClock.wall();
        mOperators =
                new SiteOperatorService(mLog, parts.reader(), wall, parts.site().dataCentres());
        mLimits =
                new LimitOwnerTask(
                        mLog,
                        LimitPolicy.forGateways(),
                        parts.clock().monotonic(),
                        wall,
                        this::sendLimits);
        mFeed = feedTask(wall);
        mRollouts =
                new RolloutTask(
                        mLog,
                        parts.bounds().rolloutExposure(),
                        parts.clock().monotonic(),
                        wall,
                        this::broadcast);
        mQuarantine =
                new QuarantineTask(
                        mLog, parts.clock().monotonic(), wall, this::sendQuarantineNotice);
        mWork =
                new WorkTask(
                        new WorkDecider(),
                        parts.clock().monotonic(),
                        this::sendWork,
                        mRollouts::postWork);
        mRelays =
                new RelayTask(new RelayDecider(), parts.clock().monotonic(), this::announceRelays);
        mEndpoints =
                new EndpointsTask(
                        parts.endpoints(),
                        parts.engines(),
                        mLog,
                        new WeightsDecider(
                                parts.engineOrders().takeoverMilliseconds(),
                                parts.engineOrders().oldWeightsMilliseconds()),
                        parts.clock().monotonic(),
                        wall,
                        parts.metrics().counter("engines_of_unnamed_services"),
                        this::endpointsChanged);
    }

    /**
     * Returns the operator operations. They must be called on the context given to {@link #start}.
     */
    public SiteOperatorService operators() {
        return mOperators;
    }

    /**
     * Opens the data folder and deploys the tasks. The replicated log starts last, because it posts
     * messages to the other tasks. The future fails if the data folder cannot be opened or a task
     * cannot start.
     *
     * @param operatorContext the context of the task that serves operators
     */
    public Future<Void> start(Context operatorContext) {
        mOperatorContext = operatorContext;
        Result<AgreementStorage> opened =
                AgreementStorage.open(
                        mParts.dataFolder(),
                        mParts.self(),
                        RANDOM::nextLong,
                        FileOperations.direct(),
                        mParts.bootstrapsLog() && mParts.seeds().contains(mParts.self()));
        return opened.fold(this::startTasks, error -> Future.failedFuture(error.detail()));
    }

    /**
     * Tells the other control VMs that this process is about to end, and returns whether this one
     * remains a voter.
     *
     * @param withinMilliseconds the time after which the outcome is {@code UNKNOWN}
     */
    public Future<LeaveOutcome> leave(long withinMilliseconds) {
        return mStarted
                ? mAgreement.leave(withinMilliseconds)
                : Future.succeededFuture(LeaveOutcome.UNKNOWN);
    }

    /** Stops all tasks. */
    public Future<Void> stop() {
        return mParts.vertx()
                .undeploy(mEndpoints.deploymentID())
                .eventually(() -> mParts.vertx().undeploy(mFeed.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mWork.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mRollouts.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mQuarantine.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mRelays.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mLimits.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mAgreement.deploymentID()));
    }

    private FeedTask feedTask(MillisecondClock wall) {
        FeedOptions options =
                FeedOptions.of(
                        SERVING_LEASE_MILLISECONDS,
                        Map.of(),
                        Set.of(
                                LimitCodec.SLICE,
                                SiteCodec.WORK_SLICE,
                                SiteCodec.RELAY_SLICE,
                                RolloutCodec.SLICE,
                                QuarantineCodec.SLICE));
        return new FeedTask(
                new FeedTask.Parts(
                        mParts.self().value(),
                        mParts.ports().feed(),
                        WireOptions.plain(),
                        mParts.clock().monotonic(),
                        wall,
                        mLog,
                        mParts.metrics(),
                        number -> {},
                        this::gatewayMessageForwarded,
                        this::gatewayConnected),
                new FeedDecider(options));
    }

    private Future<Void> startTasks(AgreementStorage storage) {
        mTermAtStart = storage.recovered().hardState().term();
        ControlStateMachine state =
                new ControlStateMachine(
                        List.of(
                                new CatalogSlice(this::documentChanged),
                                new WeightsSlice(this::weightsChanged),
                                new OrdersSlice(this::orderAnnounced),
                                RolloutTask.slice(this::rolloutsChanged),
                                QuarantineTask.slice(mQuarantine::post),
                                new LimitRegistrySlice(this::limitsChanged),
                                new EvacuationsSlice(this::evacuationsChanged)),
                        mParts.metrics().counter("control_entries_unreadable"));
        mAgreement =
                new AgreementTask(
                        mParts.self(),
                        directory(),
                        OPTIONS,
                        WireOptions.plain(),
                        storage,
                        new AppliedState(state),
                        new AgreementTask.Listeners(this::roleChanged, this::membershipChanged),
                        mParts.clock().monotonic(),
                        mParts.clock().startedMilliseconds(),
                        bound -> ThreadLocalRandom.current().nextLong(bound),
                        mParts.metrics());
        return mParts.vertx()
                .deployVerticle(mLimits)
                .compose(id -> mParts.vertx().deployVerticle(mRollouts))
                .compose(id -> mParts.vertx().deployVerticle(mQuarantine))
                .compose(id -> mParts.vertx().deployVerticle(mEndpoints))
                .compose(id -> mParts.vertx().deployVerticle(mWork))
                .compose(id -> mParts.vertx().deployVerticle(mRelays))
                .compose(id -> mParts.vertx().deployVerticle(mFeed))
                .compose(id -> mParts.vertx().deployVerticle(mAgreement))
                .onSuccess(
                        id -> {
                            mStarted = true;
                            LOG.info("control.started", "vm", mParts.self());
                        })
                .mapEmpty();
    }

    private MemberDirectory directory() {
        return new MemberDirectory(
                mParts.seeds(),
                vm -> Optional.of(new MemberAddress(vm.value(), mParts.ports().agreement())),
                MembershipRules.open(
                        mParts.seeds(),
                        mParts.members().toleratedLosses(),
                        Math.max(
                                OPTIONS.electionMaxMilliseconds(),
                                mParts.members().removeUnresponsiveAfterMilliseconds())));
    }

    private void documentChanged(NumberedDocument document) {
        mOperatorContext.runOnContext(ignored -> mOperators.documentChanged(document));
        if (!document.isPresent()) {
            return;
        }
        LOG.info("site.catalog", "number", document.number(), "bytes", document.bytes().length);
        mFeed.post(new RevisionCommitted(document.number(), document.text()));
        mParts.reader()
                .readPublished(document.bytes())
                .match(
                        this::catalogChanged,
                        error ->
                                LOG.warn(
                                        "site.catalog.unreadable",
                                        "number",
                                        document.number(),
                                        "detail",
                                        error.detail()));
    }

    private void catalogChanged(Catalog catalog) {
        List<CustomerLimit> limits = SiteLimits.of(catalog, mParts.bounds().limitSlack());
        mLimits.postLimits(limits);
        mEndpoints.postServices(catalog.services().keySet());
    }

    private void weightsChanged(Map<String, Long> versions) {
        mOperatorContext.runOnContext(ignored -> mOperators.weightsChanged(versions));
        LOG.info("site.weights", "versions", versions);
        mEndpoints.postWeights(versions);
        broadcast(new WeightsNamed(versions));
    }

    private void evacuationsChanged(Set<String> dataCentres) {
        LOG.info("site.evacuations", "data_centres", dataCentres);
        mOperatorContext.runOnContext(ignored -> mOperators.evacuationsChanged(dataCentres));
        broadcast(new DataCentresEvacuated(dataCentres));
    }

    private void rolloutsChanged(RolloutState state) {
        mOperatorContext.runOnContext(ignored -> mOperators.rolloutsChanged(state));
        mRollouts.post(state);
    }

    /**
     * Passes on an announced order. Engines that check fencing numbers reject late orders of
     * leaders from before the start of this process, so that only orders of later terms delay new
     * ones.
     */
    private void orderAnnounced(Announced order) {
        if (!mParts.engineOrders().enginesCheckFencing() || order.fencingNumber() > mTermAtStart) {
            mEndpoints.postAnnounced(order);
        }
    }

    private void limitsChanged(ControlChange change) {
        if (change instanceof LimitRegistryChanged limits) {
            mLimits.post(limits.registry());
        }
    }

    private void gatewayConnected(ReportConnected gateway) {
        mLimits.postConnected(new RouterIdentity(gateway.vm(), gateway.incarnation()));
    }

    private void gatewayMessageForwarded(Forward forward) {
        RouterIdentity gateway = new RouterIdentity(forward.vm(), forward.incarnation());
        if (forward.slice().equals(SiteCodec.WORK_SLICE)) {
            mWork.postMessage(gateway, forward.payload());
        } else if (forward.slice().equals(SiteCodec.RELAY_SLICE)) {
            mRelays.postMessage(gateway, forward.payload());
        } else if (forward.slice().equals(RolloutCodec.SLICE)) {
            mRollouts.postOutcomes(forward.payload());
        } else if (forward.slice().equals(QuarantineCodec.SLICE)) {
            mQuarantine.postEvidence(gateway, forward.payload());
        } else {
            mLimits.postMessage(gateway, forward.payload());
        }
    }

    private void sendLimits(RouterIdentity gateway, byte[] payload) {
        send(gateway, new SliceMessage(LimitCodec.SLICE, payload));
    }

    private void sendWork(RouterIdentity gateway, byte[] payload) {
        send(gateway, new SliceMessage(SiteCodec.WORK_SLICE, payload));
    }

    private void sendQuarantineNotice(QuarantineNotice notice) {
        mFeed.post(
                new RetainedMessageChanged(
                        new SliceMessage(
                                QuarantineCodec.SLICE, QuarantineCodec.encodeNotice(notice))));
    }

    private void announceRelays(RelaysListed relays) {
        SliceMessage message = sliceMessage(relays);
        mFeed.post(new LeaderMessageChanged(message, message));
    }

    private void send(RouterIdentity gateway, SliceMessage message) {
        mFeed.post(new MessageForRouter(gateway.vm(), gateway.incarnation(), message));
    }

    /**
     * Sends the difference, or the whole list if this member has begun to lead, to the gateways
     * that are connected, and keeps the whole list for those that connect later. Called on the
     * context of one task only.
     */
    private void endpointsChanged(Optional<Endpoints> previous, Endpoints endpoints) {
        mEndpointListNumber++;
        mRollouts.post(endpoints);
        announceCold(previous.isEmpty(), endpoints);
        SliceMessage whole = sliceMessage(new EndpointsListed(mEndpointListNumber, endpoints));
        SliceMessage update =
                previous.map(earlier -> earlier.differenceTo(endpoints))
                        .map(difference -> new EndpointsChanged(mEndpointListNumber, difference))
                        .map(SiteControlProcess::sliceMessage)
                        .orElse(whole);
        mFeed.post(new LeaderMessageChanged(whole, update));
    }

    /** Tells gateways the cold endpoints of a list before they get the list. */
    private void announceCold(boolean isFirstAsLeader, Endpoints endpoints) {
        ColdEndpoints cold = endpoints.cold();
        if (isFirstAsLeader || !cold.equals(mCold)) {
            mCold = cold;
            SliceMessage message = sliceMessage(cold);
            mFeed.post(new LeaderMessageChanged(message, message));
        }
    }

    /**
     * Sends a retained message to all present and future gateways. It replaces the previous message
     * of the same type.
     */
    private void broadcast(SiteMessage message) {
        mFeed.post(new RetainedMessageChanged(sliceMessage(message)));
    }

    private static SliceMessage sliceMessage(SiteMessage message) {
        String slice = message.getClass().getSimpleName();
        return new SliceMessage(slice, new SiteCodec().encode(message));
    }

    private void roleChanged(AgreementStatus status) {
        boolean leads = status.role() == MemberRole.LEADER;
        Optional<ObjectName> leader = status.leader().map(MemberId::vm);
        Leadership leadership =
                new Leadership(leads, status.term(), leader, status.leaderlessMilliseconds());
        mOperatorContext.runOnContext(ignored -> mOperators.leadershipChanged(leadership));
        mLimits.post(leadership);
        mFeed.post(new LeadershipChanged(leads, leader.map(this::feedAddress)));
        mWork.post(leadership);
        mRollouts.post(leadership);
        mQuarantine.post(leadership);
        mRelays.post(leadership);
        // Last, as the others would drop the list that it begins with.
        mEndpoints.post(leadership);
    }

    /** Tells gateways the control VMs, so that those of a group that changes are always known. */
    private void membershipChanged(Membership membership) {
        broadcast(
                new ControlVms(
                        membership.voters().stream().map(member -> member.vm().value()).toList()));
    }

    private ControlAddress feedAddress(ObjectName vm) {
        return new ControlAddress(vm.value(), mParts.ports().feed());
    }
}
