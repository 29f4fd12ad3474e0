package org.skylarkbend.agreement;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;
import org.skylarkbend.agreement.AgreementEffect.Apply;
import org.skylarkbend.agreement.AgreementEffect.Broadcast;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.ConfirmationFailed;
import org.skylarkbend.agreement.AgreementEffect.FailProposal;
import org.skylarkbend.agreement.AgreementEffect.LeadershipConfirmed;
import org.skylarkbend.agreement.AgreementEffect.LeaveDecided;
import org.skylarkbend.agreement.AgreementEffect.LossMarginChanged;
import org.skylarkbend.agreement.AgreementEffect.MemberChangeDecided;
import org.skylarkbend.agreement.AgreementEffect.MembershipChanged;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.Restore;
import org.skylarkbend.agreement.AgreementEffect.RoleChanged;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.ConfirmLeadership;
import org.skylarkbend.agreement.AgreementInput.DiskChecked;
import org.skylarkbend.agreement.AgreementInput.Leave;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.EntryContent.Command;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.base.TaskFailedError;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameDialer;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;

/**
 * The task that runs one member of the replicated log. It owns the connections to the other
 * members, the files, the decider and the state machine.
 *
 * <p>The public methods may be called from any context; results are delivered on the context of the
 * caller.
 */
public final class AgreementTask extends VerticleBase {
    /** The maximum size of a proposed command. */
    public static final int MAX_COMMAND_BYTES = 8 * 1024 * 1024;

    private static final StructuredLog LOG = StructuredLog.of(AgreementTask.class);

    private final ObjectName mVm;
    private final MemberDirectory mDirectory;
    private final AgreementOptions mOptions;
    private final WireOptions mWireOptions;
    private final AgreementStorage mStorage;
    private final StateMachine mStateMachine;
    private final Listeners mListeners;
    private final MillisecondClock mClock;
    private final long mStartedMilliseconds;
    private final LongUnaryOperator mRandomBelow;
    private final AgreementReports mReports;

    private final Deque<AgreementInput> mInputs = new ArrayDeque<>();
    private final PendingSends mPendingSends = new PendingSends();
    private final Map<Long, Consumer<Result<byte[]>>> mProposals = new HashMap<>();
    private final Map<Long, Consumer<Result<Long>>> mConfirmations = new HashMap<>();
    private Context mContext;
    private AgreementDecider mDecider;
    private FrameListener<Envelope> mListener;
    private PeerLinks mLinks;
    private DiskQueue mDisk;
    private long mTimerId;
    private long mSyncedNumber;
    private long mLastRequestId;
    private Consumer<LeaveOutcome> mOnLeaveDecided = outcome -> {};
    private boolean mDeciding;

    /**
     * The functions that a task calls.
     *
     * @param onRoleChange called when the role, term or leader changes
     * @param onMembershipChange called at the start and when the newest membership in the log
     *     changes, committed or not
     */
    public record Listeners(
            Consumer<AgreementStatus> onRoleChange, Consumer<Membership> onMembershipChange) {}

    /**
     * Creates a task, which runs once it is deployed.
     *
     * @param vm the VM on which the task runs
     * @param directory the addresses of the members, including this one
     * @param options timeouts and sizes
     * @param wireOptions limits and keys of the connections
     * @param storage the open data folder, closed when the task stops
     * @param stateMachine the state machine that commands are applied to
     * @param listeners called on the task's context
     * @param clock a monotonic clock
     * @param startedMilliseconds the time of the clock at which the process started
     * @param randomBelow returns a random number from 0 (inclusive) to its argument (exclusive)
     * @param metrics the registry of the metrics of the process
     */
    public AgreementTask(
            ObjectName vm,
            MemberDirectory directory,
            AgreementOptions options,
            WireOptions wireOptions,
            AgreementStorage storage,
            StateMachine stateMachine,
            Listeners listeners,
            MillisecondClock clock,
            long startedMilliseconds,
            LongUnaryOperator randomBelow,
            MetricRegistry metrics) {
        mVm = vm;
        mDirectory = directory;
        mOptions = options;
        mWireOptions = wireOptions;
        mStorage = storage;
        mStateMachine = stateMachine;
        mListeners = listeners;
        mClock = clock;
        mStartedMilliseconds = startedMilliseconds;
        mRandomBelow = randomBelow;
        mReports = new AgreementReports(metrics);
    }

    @Override
    public Future<?> start() {
        mContext = context;
        AgreementCodec codec = new AgreementCodec();
        mListener = new FrameListener<>(vertx, codec, mWireOptions, mClock);
        FrameDialer<Envelope> dialer = new FrameDialer<>(vertx, codec, mWireOptions, mClock);
        mLinks =
                new PeerLinks(
                        vertx,
                        dialer,
                        mVm,
                        mDirectory,
                        vm -> mDecider.membership().onVm(vm).isPresent(),
                        mOptions.electionMinMilliseconds() / 2);
        mDisk =
                new DiskQueue(
                        vertx,
                        mStorage,
                        mClock,
                        this::persisted,
                        this::persistFailed,
                        canWrite -> decide(new DiskChecked(canWrite)));
        mDecider =
                new AgreementDecider(
                        mStorage.recovered(),
                        mOptions,
                        mDirectory.rules(),
                        mRandomBelow,
                        mStartedMilliseconds,
                        mClock.nowMilliseconds());
        MemberAddress own = mDirectory.addressOf().apply(mVm).orElseThrow();
        return mListener
                .listen(own.host(), own.port(), this::accepted)
                .onSuccess(port -> onListening(port));
    }

    @Override
    public Future<?> stop() {
        vertx.cancelTimer(mTimerId);
        mLinks.close();
        mProposals.values().forEach(respond -> respond.accept(stoppingFailure()));
        mConfirmations.values().forEach(respond -> respond.accept(stoppingFailure()));
        mProposals.clear();
        mConfirmations.clear();
        return mListener.close().eventually(mDisk::close);
    }

    /**
     * Commits a command and returns the result of the state machine.
     *
     * <p>Fails with {@code BODY_TOO_LARGE} if the command exceeds {@link #MAX_COMMAND_BYTES}.
     * {@code NO_LEADER} and {@code STORAGE_FAILED} mean that the command was not and will not be
     * committed; {@code COMMIT_UNKNOWN} means that it may have been or may still be committed.
     */
    public Future<Result<byte[]>> propose(byte[] command) {
        if (command.length > MAX_COMMAND_BYTES) {
            return Future.succeededFuture(
                    Result.failure(
                            ErrorKind.BODY_TOO_LARGE,
                            "the command has " + command.length + " bytes"));
        }
        return submit(
                respond -> {
                    mLastRequestId++;
                    mProposals.put(mLastRequestId, respond);
                    return new Propose(mLastRequestId, new Command(command));
                });
    }

    /**
     * Confirms that this member was the leader at some time after the call.
     *
     * <p>Returns an index up to which the log has been applied. State that is read after this
     * result arrives is at least as recent as the call. Fails with {@code NO_LEADER} if leadership
     * cannot be confirmed, and with {@code COMMIT_UNKNOWN} if the task stops first.
     */
    public Future<Result<Long>> confirmLeadership() {
        return submit(
                respond -> {
                    mLastRequestId++;
                    mConfirmations.put(mLastRequestId, respond);
                    return new ConfirmLeadership(mLastRequestId);
                });
    }

    /**
     * Tells the other members that the process is about to end, and returns whether this member
     * remains a voter. A member that others can do without is removed at once.
     *
     * @param withinMilliseconds the time after which the outcome is {@code UNKNOWN}
     */
    public Future<LeaveOutcome> leave(long withinMilliseconds) {
        Promise<LeaveOutcome> promise = Promise.promise();
        Context caller = vertx.getOrCreateContext();
        mContext.runOnContext(
                ignored -> {
                    mOnLeaveDecided =
                            outcome ->
                                    caller.runOnContext(onCaller -> promise.tryComplete(outcome));
                    vertx.setTimer(
                            withinMilliseconds, id -> promise.tryComplete(LeaveOutcome.UNKNOWN));
                    decide(new Leave());
                });
        return promise.future();
    }

    /** Returns the current status of this member. */
    public Future<AgreementStatus> status() {
        Promise<AgreementStatus> promise = Promise.promise();
        Context caller = vertx.getOrCreateContext();
        mContext.runOnContext(
                ignored -> {
                    AgreementStatus status = currentStatus();
                    caller.runOnContext(onCaller -> promise.complete(status));
                });
        return promise.future();
    }

    private <T> Future<Result<T>> submit(Function<Consumer<Result<T>>, AgreementInput> toInput) {
        Promise<Result<T>> promise = Promise.promise();
        Context caller = vertx.getOrCreateContext();
        Consumer<Result<T>> respond =
                result -> caller.runOnContext(ignored -> promise.complete(result));
        mContext.runOnContext(ignored -> decide(toInput.apply(respond)));
        return promise.future();
    }

    private void onListening(int port) {
        LOG.info("agreement.started", "member", mStorage.recovered().self(), "port", port);
        mLinks.open();
        mTimerId =
                vertx.setPeriodic(mOptions.heartbeatMilliseconds() / 2, id -> decide(new Tick()));
        decide(new Tick());
    }

    private void accepted(FrameConnection<Envelope> connection) {
        connection.onMessage(this::received);
    }

    private void received(Envelope envelope) {
        MemberId self = mStorage.recovered().self();
        if (envelope.to().map(self::equals).orElse(true)) {
            forwardToLeader(envelope);
            decide(new Received(envelope.from(), envelope.message()));
        }
    }

    /**
     * A joining member may know only some members, so its announcement is forwarded to the leader.
     */
    private void forwardToLeader(Envelope envelope) {
        Optional<MemberId> leader =
                mDecider.leader().filter(known -> !known.equals(mStorage.recovered().self()));
        if (leader.isPresent() && envelope.to().isEmpty()) {
            mLinks.send(
                    leader.get().vm(), new Envelope(envelope.from(), leader, envelope.message()));
        }
    }

    private void persisted(long number) {
        mSyncedNumber = number;
        mPendingSends.sendReady(number, this::sendNow);
        decide(new Persisted(number));
    }

    private void persistFailed(long number, SkylarkError error) {
        mPendingSends.clear();
        decide(new PersistFailed(number, error));
    }

    /** Processes an input, then the inputs that its effects produce, one at a time. */
    private void decide(AgreementInput input) {
        mInputs.add(input);
        if (mDeciding) {
            return;
        }
        mDeciding = true;
        try {
            while (!mInputs.isEmpty()) {
                mDecider.decide(mInputs.poll(), mClock.nowMilliseconds()).forEach(this::execute);
            }
            mDeciding = false;
        } catch (RuntimeException e) {
            throw new TaskFailedError("the replicated log", e);
        }
    }

    private void execute(AgreementEffect effect) {
        if (effect instanceof Send send) {
            sendAfterPersist(send);
        } else if (effect instanceof Broadcast broadcast) {
            MemberId self = mStorage.recovered().self();
            mLinks.sendToAll(new Envelope(self, Optional.empty(), broadcast.message()));
        } else if (effect instanceof Persist persist) {
            mDisk.add(persist);
        } else if (effect instanceof SaveSnapshot save) {
            mDisk.add(save);
        } else if (effect instanceof CheckDisk check) {
            mDisk.add(check);
        } else if (effect instanceof Apply apply) {
            apply(apply);
        } else if (effect instanceof Restore restore) {
            mStateMachine.restore(restore.snapshot().data());
        } else if (effect instanceof TakeSnapshot take) {
            decide(new SnapshotTaken(take.index(), mStateMachine.snapshot()));
        } else {
            reportOutcome(effect);
        }
    }

    private void reportOutcome(AgreementEffect effect) {
        if (effect instanceof FailProposal failed) {
            respond(mProposals.remove(failed.proposalId()), Result.failure(failed.error()));
        } else if (effect instanceof LeadershipConfirmed confirmed) {
            respond(
                    mConfirmations.remove(confirmed.confirmationId()),
                    Result.success(confirmed.appliedIndex()));
        } else if (effect instanceof ConfirmationFailed failed) {
            respond(mConfirmations.remove(failed.confirmationId()), Result.failure(failed.error()));
        } else if (effect instanceof RoleChanged changed) {
            mReports.roleChanged(changed);
            mListeners.onRoleChange().accept(currentStatus());
        } else if (effect instanceof LeaveDecided decided) {
            mOnLeaveDecided.accept(decided.outcome());
        } else if (effect instanceof MembershipChanged changed) {
            mReports.membershipChanged(changed);
            mListeners.onMembershipChange().accept(changed.current());
        } else if (effect instanceof MemberChangeDecided decided) {
            mReports.memberChangeDecided(decided);
        } else if (effect instanceof LossMarginChanged changed) {
            mReports.lossMarginChanged(changed);
        }
    }

    private void apply(Apply apply) {
        byte[] result = new byte[0];
        if (apply.entry().content() instanceof Command command) {
            result = mStateMachine.apply(apply.entry().index(), command.bytes());
        }
        OptionalLong proposalId = apply.proposalId();
        if (proposalId.isPresent()) {
            respond(mProposals.remove(proposalId.getAsLong()), Result.success(result));
        }
    }

    private void sendAfterPersist(Send send) {
        if (send.afterPersist() <= mSyncedNumber) {
            sendNow(send);
        } else {
            mPendingSends.add(send);
        }
    }

    private void sendNow(Send send) {
        MemberId self = mStorage.recovered().self();
        mLinks.send(send.to().vm(), new Envelope(self, Optional.of(send.to()), send.message()));
    }

    private AgreementStatus currentStatus() {
        return new AgreementStatus(
                mStorage.recovered().self(),
                mDecider.role(),
                mDecider.term(),
                mDecider.leader(),
                mDecider.membership(),
                mDecider.appliedIndex(),
                mDecider.leaderlessMilliseconds());
    }

    private static <T> void respond(Consumer<Result<T>> waiting, Result<T> result) {
        if (waiting != null) {
            waiting.accept(result);
        }
    }

    private static <T> Result<T> stoppingFailure() {
        return Result.failure(ErrorKind.COMMIT_UNKNOWN, "this control VM is stopping");
    }
}
