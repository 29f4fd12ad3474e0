package org.skylarkbend.control;

import io.vertx.core.Future;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import org.skylarkbend.agreement.AgreementStatus;
import org.skylarkbend.agreement.AgreementStorage;
import org.skylarkbend.agreement.AgreementTask;
import org.skylarkbend.agreement.FileOperations;
import org.skylarkbend.agreement.MemberAddress;
import org.skylarkbend.agreement.MemberDirectory;
import org.skylarkbend.agreement.MemberId;
import org.skylarkbend.agreement.MemberRole;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.control.feed.FeedDecider;
import org.skylarkbend.control.feed.FeedEffect.Forward;
import org.skylarkbend.control.feed.FeedEffect.ReportConnected;
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
import org.skylarkbend.control.log.ControlChange.PublishingChanged;
import org.skylarkbend.control.log.ControlChange.UsageCounted;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.ControlStateMachine;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.LedgerSlice;
import org.skylarkbend.control.log.PublishingSlice;
import org.skylarkbend.control.log.UsageSlice;
import org.skylarkbend.control.operator.OperatorTask;
import org.skylarkbend.control.settings.ControlVm;
import org.skylarkbend.forwarding.ledger.LedgerLimits;
import org.skylarkbend.limits.LimitCodec;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.publishing.PublishingState;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.usage.GrantDecider;
import org.skylarkbend.usage.UsageCodec;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;

/**
 * A control process. It runs the replicated log, the router feed, the limit owner and the operator
 * API as separate tasks and passes messages between them.
 */
public final class ControlProcess {
    private static final StructuredLog LOG = StructuredLog.of(ControlProcess.class);

    /**
     * The settings do not tell whether the site has run before. Since they name all members, a log
     * is created only when none of them has one.
     */
    private static final boolean IS_FIRST_START = true;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final ControlParts mParts;
    private final FeedTask mFeed;
    private final OperatorTask mOperators;
    private final LimitOwnerTask mLimits;
    private final GrantDecider mGrants = new GrantDecider();
    private AgreementTask mAgreement;

    /** Creates the tasks without starting them. */
    public ControlProcess(ControlParts parts) {
        mParts = parts;
        ControlLog log = new AgreementControlLog(() -> mAgreement);
        mOperators = operatorTask(log);
        mLimits =
                new LimitOwnerTask(
                        log,
                        LimitPolicy.standard(),
                        parts.monotonic(),
                        parts.wall(),
                        this::sendLimits);
        mFeed = feedTask(log);
    }

    private OperatorTask operatorTask(ControlLog log) {
        return new OperatorTask(
                new OperatorTask.Parts(
                        mParts.settings(),
                        mParts.settings().self().operatorPort(),
                        OperatorTask.IDLE_MILLISECONDS,
                        log,
                        () -> mFeed.status(),
                        mParts.monotonic(),
                        mParts.wall(),
                        mParts.metrics(),
                        mParts.tracing()));
    }

    private FeedTask feedTask(ControlLog log) {
        FeedTask.Parts parts =
                new FeedTask.Parts(
                        mParts.settings().self().host(),
                        mParts.settings().self().feedPort(),
                        mParts.wire(),
                        mParts.monotonic(),
                        mParts.wall(),
                        log,
                        mParts.metrics(),
                        mOperators::postInForce,
                        this::routerMessageForwarded,
                        this::routerConnected);
        FeedOptions options = RouterMessages.options(mParts.settings().servingLeaseMilliseconds());
        return new FeedTask(parts, new FeedDecider(options));
    }

    /**
     * Opens the data folder and deploys the tasks. The replicated log starts last, because it posts
     * messages to the other tasks. The future fails if the data folder cannot be opened or a task
     * cannot start.
     */
    public Future<Void> start() {
        Result<AgreementStorage> opened =
                AgreementStorage.open(
                        mParts.settings().dataFolder(),
                        mParts.settings().vm(),
                        RANDOM::nextLong,
                        FileOperations.direct(),
                        IS_FIRST_START);
        return opened.fold(this::startTasks, error -> Future.failedFuture(error.detail()));
    }

    /** Stops all tasks. */
    public Future<Void> stop() {
        return mParts.vertx()
                .undeploy(mOperators.deploymentID())
                .eventually(() -> mParts.vertx().undeploy(mFeed.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mLimits.deploymentID()))
                .eventually(() -> mParts.vertx().undeploy(mAgreement.deploymentID()));
    }

    private Future<Void> startTasks(AgreementStorage storage) {
        ControlStateMachine state =
                new ControlStateMachine(
                        List.of(
                                new PublishingSlice(this::stateChanged),
                                new LedgerSlice(LedgerLimits.defaults()),
                                new LimitRegistrySlice(this::stateChanged),
                                new UsageSlice(this::stateChanged)),
                        mParts.metrics().counter("control_entries_unreadable"));
        mAgreement =
                new AgreementTask(
                        mParts.settings().vm(),
                        MemberDirectory.fixed(addresses()),
                        mParts.agreement(),
                        mParts.wire(),
                        storage,
                        new AppliedState(state),
                        new AgreementTask.Listeners(this::roleChanged, membership -> {}),
                        mParts.monotonic(),
                        mParts.monotonic().nowMilliseconds(),
                        bound -> ThreadLocalRandom.current().nextLong(bound),
                        mParts.metrics());
        return mParts.vertx()
                .deployVerticle(mOperators)
                .compose(id -> mParts.vertx().deployVerticle(mLimits))
                .compose(id -> mParts.vertx().deployVerticle(mFeed))
                .compose(id -> mParts.vertx().deployVerticle(mAgreement))
                .onSuccess(id -> LOG.info("control.started", "vm", mParts.settings().vm()))
                .mapEmpty();
    }

    private Map<ObjectName, MemberAddress> addresses() {
        return mParts.settings().members().stream()
                .collect(
                        Collectors.toMap(
                                ControlVm::vm,
                                vm -> new MemberAddress(vm.host(), vm.agreementPort())));
    }

    /** Forwards a committed change to the tasks that depend on it. */
    private void stateChanged(ControlChange change) {
        mOperators.post(change);
        if (change instanceof UsageCounted counted) {
            mGrants.applyUsage(counted.month(), counted.tokens())
                    .ifPresent(this::broadcastUsedUpGrants);
        } else if (change instanceof LimitRegistryChanged limits) {
            mLimits.post(limits.registry());
        } else if (change instanceof PublishingChanged publishing) {
            PublishingState state = publishing.state();
            mFeed.post(new RevisionCommitted(state.revision(), state.yaml()));
            mLimits.post(publishing.set());
            mGrants.applySet(publishing.set()).ifPresent(this::broadcastUsedUpGrants);
        }
    }

    private void routerConnected(ReportConnected router) {
        mLimits.postConnected(new RouterIdentity(router.vm(), router.incarnation()));
    }

    private void routerMessageForwarded(Forward forward) {
        mLimits.postMessage(
                new RouterIdentity(forward.vm(), forward.incarnation()), forward.payload());
    }

    private void sendLimits(RouterIdentity router, byte[] payload) {
        SliceMessage message = new SliceMessage(LimitCodec.SLICE, payload);
        mFeed.post(new MessageForRouter(router.vm(), router.incarnation(), message));
    }

    private void broadcastUsedUpGrants(GrantsUsedUp grants) {
        LOG.info("control.grants.used_up", "customers", grants.customers());
        byte[] payload = new UsageCodec().encode(grants);
        mFeed.post(new RetainedMessageChanged(new SliceMessage(UsageMessage.SLICE, payload)));
    }

    private void roleChanged(AgreementStatus status) {
        boolean leads = status.role() == MemberRole.LEADER;
        Optional<ObjectName> leader = status.leader().map(MemberId::vm);
        Leadership leadership =
                new Leadership(leads, status.term(), leader, status.leaderlessMilliseconds());
        mOperators.post(leadership);
        mLimits.post(leadership);
        Optional<ControlAddress> address =
                leader.flatMap(mParts.settings()::find)
                        .map(vm -> new ControlAddress(vm.host(), vm.feedPort()));
        mFeed.post(new LeadershipChanged(leads, address));
    }
}
