package org.skylarkbend.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.LossMarginChanged;
import org.skylarkbend.agreement.AgreementEffect.MembershipChanged;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementInput.DiskChecked;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.AgreementMessage.Announcement;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.LeaveRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;

/** The leader of a group, number 1, whose other members respond at once unless they are silent. */
final class LeaderOfGroup {
    static final AgreementOptions OPTIONS = AgreementOptions.defaults();
    static final long REMOVE_UNRESPONSIVE_MILLISECONDS = 2 * OPTIONS.electionMaxMilliseconds();

    private static final int TOLERATED_LOSSES = 2;
    private static final long TICK_MILLISECONDS = OPTIONS.heartbeatMilliseconds() / 2;
    private static final long TERM = 3;

    private final AgreementDecider mDecider;
    private final Set<MemberId> mSilent = new TreeSet<>();
    private final Set<MemberId> mJoining = new TreeSet<>();
    private final List<Membership> mMemberships = new ArrayList<>();
    private final List<AgreementEffect> mEffects = new ArrayList<>();
    private boolean mHoldsWrites;
    private long mHeldWrite;
    private long mNowMilliseconds = 2 * OPTIONS.electionMaxMilliseconds();

    /** Elects the leader of a group that is not told how many losses it has to tolerate. */
    static LeaderOfGroup withUnknownLosses(int count) {
        return new LeaderOfGroup(0, count, new int[0]);
    }

    /** Elects the leader of a group whose voters are as many as these losses need. */
    static LeaderOfGroup tolerating(int losses) {
        return new LeaderOfGroup(losses, 2 * losses + 1, new int[0]);
    }

    /**
     * Elects the leader.
     *
     * @param count the number of voters
     * @param silent the numbers of those that do not respond from the start
     */
    LeaderOfGroup(int count, int... silent) {
        this(TOLERATED_LOSSES, count, silent);
    }

    private LeaderOfGroup(int toleratedLosses, int count, int[] silent) {
        silence(silent);
        List<MemberId> members =
                IntStream.rangeClosed(1, count).mapToObj(LeaderOfGroup::member).toList();
        Snapshot snapshot = new Snapshot(10, TERM - 1, new Membership(members), new byte[0]);
        mDecider =
                new AgreementDecider(
                        new DurableState(
                                member(1),
                                true,
                                new HardState(TERM - 1, Optional.empty()),
                                Optional.of(snapshot),
                                List.of()),
                        OPTIONS,
                        MembershipRules.open(
                                Set.of(member(1).vm()),
                                toleratedLosses,
                                REMOVE_UNRESPONSIVE_MILLISECONDS),
                        bound -> 0,
                        0,
                        0);
        decide(new Tick());
        for (MemberId other : members.subList(1, count)) {
            decide(new Received(other, new PreVoteResponse(TERM, true)));
        }
        for (MemberId other : members.subList(1, count)) {
            decide(new Received(other, new VoteResponse(TERM, true, 0)));
        }
        SafetyChecks.check(mDecider.role() == MemberRole.LEADER, "no leader");
        runFor(OPTIONS.heartbeatMilliseconds());
        mMemberships.clear();
        mEffects.clear();
    }

    static MemberId member(int number) {
        return new MemberId(ObjectName.of("vm-" + number), number);
    }

    AgreementDecider decider() {
        return mDecider;
    }

    List<MemberId> voters() {
        return mDecider.membership().voters();
    }

    /** Returns the number of voters after each change. */
    List<Integer> voterCounts() {
        return mMemberships.stream().map(membership -> membership.voters().size()).toList();
    }

    /** Returns all effects so far. */
    List<AgreementEffect> effects() {
        return mEffects;
    }

    /** Returns all effects of one type so far. */
    <T extends AgreementEffect> List<T> effects(Class<T> type) {
        return mEffects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the margins that were reported as news so far. */
    List<LossMargin> news() {
        return effects(LossMarginChanged.class).stream()
                .filter(LossMarginChanged::isNews)
                .map(LossMarginChanged::margin)
                .toList();
    }

    /** Returns all messages to a member so far. */
    List<AgreementMessage> sentTo(int number) {
        return mEffects.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .filter(send -> send.to().equals(member(number)))
                .map(Send::message)
                .toList();
    }

    /** Lets a member tell the leader that it is about to end. */
    void leave(int number) {
        decide(new Received(member(number), new LeaveRequest()));
    }

    /** Keeps members from responding from now on. */
    void silence(int... numbers) {
        IntStream.of(numbers).mapToObj(LeaderOfGroup::member).forEach(mSilent::add);
    }

    /** Lets a member that is not a voter announce itself and respond. */
    void join(int number) {
        mSilent.remove(member(number));
        mJoining.add(member(number));
    }

    /** Keeps the leader's writes from ending from now on. */
    void holdWrites() {
        mHoldsWrites = true;
    }

    /** Lets the writes that were held fail, and later ones succeed. */
    void failHeldWrites() {
        mHoldsWrites = false;
        SkylarkError noSpace = new SkylarkError(ErrorKind.STORAGE_FAILED, "no space");
        decide(new PersistFailed(mHeldWrite, noSpace));
    }

    void runFor(long milliseconds) {
        long endMilliseconds = mNowMilliseconds + milliseconds;
        while (mNowMilliseconds < endMilliseconds) {
            mNowMilliseconds += TICK_MILLISECONDS;
            mJoining.removeAll(voters());
            for (MemberId joining : List.copyOf(mJoining)) {
                decide(new Received(joining, new Announcement(false, false, Optional.empty())));
            }
            decide(new Tick());
        }
    }

    /** Processes an input, the writes that follow from it, and the responses of the others. */
    void decide(AgreementInput input) {
        Deque<AgreementInput> inputs = new ArrayDeque<>(List.of(input));
        while (!inputs.isEmpty()) {
            for (AgreementEffect effect : mDecider.decide(inputs.poll(), mNowMilliseconds)) {
                mEffects.add(effect);
                if (effect instanceof Persist persist) {
                    mHeldWrite = persist.number();
                    if (!mHoldsWrites) {
                        inputs.add(new Persisted(persist.number()));
                    }
                } else if (effect instanceof CheckDisk) {
                    inputs.add(new DiskChecked(true));
                } else if (effect instanceof MembershipChanged changed) {
                    mMemberships.add(changed.current());
                } else if (effect instanceof Send send
                        && send.message() instanceof AppendRequest request
                        && !mSilent.contains(send.to())) {
                    inputs.add(new Received(send.to(), accepted(request)));
                }
            }
        }
    }

    private static AppendResponse accepted(AppendRequest request) {
        long lastIndex = request.previousIndex() + request.entries().size();
        return new AppendResponse(TERM, request.round(), true, lastIndex);
    }
}
