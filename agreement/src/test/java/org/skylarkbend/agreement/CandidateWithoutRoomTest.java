package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for a candidate of three voters whose disk has no room for its vote. */
public class CandidateWithoutRoomTest {
    private static final MemberId SELF = new MemberId(ObjectName.of("vm-1"), 1);
    private static final MemberId LEADER = new MemberId(ObjectName.of("vm-2"), 2);
    private static final MemberId OTHER = new MemberId(ObjectName.of("vm-3"), 3);
    private static final Membership MEMBERS = new Membership(List.of(SELF, LEADER, OTHER));
    private static final AgreementOptions OPTIONS = AgreementOptions.defaults();
    private static final HardState SAVED = new HardState(2, Optional.of(LEADER));
    private static final SkylarkError NO_ROOM =
            new SkylarkError(ErrorKind.COMMIT_UNKNOWN, "no space");

    private AgreementDecider mMember;
    private HardState mOnDisk;
    private boolean mHasRoom;
    private long mSyncedNumber;
    private long mNowMilliseconds;
    private final List<Send> mWaiting = new ArrayList<>();
    private final List<AgreementMessage> mSent = new ArrayList<>();

    @BeforeMethod
    public void start() {
        startWith(SAVED);
    }

    /** Guards against a sound leader that is lost because another member had no room. */
    @Test
    public void aCandidateThatCouldNotSaveItsVoteFollowsTheLeaderThatIsBack() {
        mHasRoom = false;
        standForElection();
        decide(new Received(LEADER, heartbeat(1)));
        mHasRoom = true;
        decide(new Tick());
        decide(new Received(LEADER, heartbeat(2)));
        assertThat(sent(AppendResponse.class))
                .contains(new AppendResponse(2, 2, true, 10))
                .allMatch(response -> response.term() == 2);
        assertThat(mMember.leader()).contains(LEADER);
    }

    /** Guards against a member that no longer answers because one vote could not be saved. */
    @Test
    public void aCandidateWithoutRoomStillAnswersHeartbeatsAndPreVotes() {
        mHasRoom = false;
        standForElection();
        decide(new Received(OTHER, new PreVoteRequest(3, 10, 2)));
        assertThat(sent(PreVoteResponse.class)).containsExactly(new PreVoteResponse(3, true));
        decide(new Received(LEADER, heartbeat(1)));
        assertThat(sent(AppendResponse.class)).containsExactly(new AppendResponse(2, 1, true, 10));
    }

    /** Guards against terms that rise with each election that a member without room tries. */
    @Test
    public void theTermDoesNotRiseWithEachElectionThatFailsForLackOfRoom() {
        mHasRoom = false;
        for (int election = 0; election < 10; election++) {
            standForElection();
            assertThat(mMember.term()).isLessThanOrEqualTo(3);
        }
        assertThat(sent(VoteRequest.class)).isEmpty();
        assertThat(sent(PreVoteRequest.class)).allMatch(request -> request.term() == 3);
    }

    /** Guards against a second vote in a term in which the first one could not be saved. */
    @Test
    public void aVoteThatCouldNotBeSavedIsNeitherCountedNorCastTwiceAfterARestart() {
        for (boolean isOnDisk : List.of(false, true)) {
            startWith(SAVED);
            mHasRoom = false;
            standForElection();
            decide(new Received(OTHER, new VoteResponse(3, true, 0)));
            assertThat(mMember.role()).isNotEqualTo(MemberRole.LEADER);
            mHasRoom = true;
            startWith(isOnDisk ? new HardState(3, Optional.of(SELF)) : SAVED);
            mNowMilliseconds += OPTIONS.electionMaxMilliseconds();
            decide(new Received(OTHER, new VoteRequest(3, 10, 2)));
            assertThat(sent(VoteResponse.class))
                    .extracting(VoteResponse::granted)
                    .containsExactly(!isOnDisk);
        }
    }

    /** Guards against two votes in a term, the first of which the disk may have kept. */
    @Test
    public void aVoteForAnotherAfterAFailedOwnOneIsSavedBeforeItIsCast() {
        mHasRoom = false;
        standForElection();
        mNowMilliseconds += OPTIONS.electionMinMilliseconds();
        decide(new Received(OTHER, new VoteRequest(3, 10, 2)));
        assertThat(sent(VoteResponse.class)).isEmpty();
        mHasRoom = true;
        decide(new Tick());
        decide(new Received(LEADER, new VoteRequest(3, 10, 2)));
        decide(new Received(OTHER, new VoteRequest(3, 10, 2)));
        assertThat(sent(VoteResponse.class))
                .extracting(VoteResponse::granted)
                .containsOnlyOnce(true);
        assertThat(mOnDisk).isEqualTo(new HardState(3, Optional.of(OTHER)));
    }

    /** Guards against a candidate that does not stand again once it has room. */
    @Test
    public void aCandidateThatHasRoomAgainIsElected() {
        mHasRoom = false;
        standForElection();
        mHasRoom = true;
        standForElection();
        long term = mMember.term();
        decide(new Received(OTHER, new VoteResponse(term, true, 0)));
        assertThat(mMember.role()).isEqualTo(MemberRole.LEADER);
        assertThat(mOnDisk).isEqualTo(new HardState(term, Optional.of(SELF)));
    }

    /** Lets the election timeout pass and grants the pre-vote if it was asked for. */
    private void standForElection() {
        int asked = sent(PreVoteRequest.class).size();
        mNowMilliseconds += OPTIONS.electionMaxMilliseconds();
        decide(new Tick());
        List<PreVoteRequest> requests = sent(PreVoteRequest.class);
        if (requests.size() > asked) {
            long term = requests.get(requests.size() - 1).term();
            decide(new Received(OTHER, new PreVoteResponse(term, true)));
        }
    }

    private static AppendRequest heartbeat(long round) {
        return new AppendRequest(2, round, 10, 2, 10, List.of());
    }

    private void startWith(HardState onDisk) {
        mOnDisk = onDisk;
        mHasRoom = true;
        mSyncedNumber = 0;
        mWaiting.clear();
        mSent.clear();
        mMember =
                new AgreementDecider(
                        new DurableState(
                                SELF,
                                false,
                                onDisk,
                                Optional.of(new Snapshot(10, 2, MEMBERS, new byte[0])),
                                List.of()),
                        OPTIONS,
                        MembershipRules.fixed(Set.of()),
                        bound -> 0,
                        mNowMilliseconds,
                        mNowMilliseconds);
    }

    /** Processes an input and then its writes, and sends what waits for none, as the task does. */
    private void decide(AgreementInput input) {
        List<AgreementEffect> effects = mMember.decide(input, mNowMilliseconds);
        effects.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .forEach(mWaiting::add);
        sendReady();
        effects.stream()
                .filter(Persist.class::isInstance)
                .map(Persist.class::cast)
                .forEach(this::write);
    }

    private void write(Persist persist) {
        if (mHasRoom) {
            mOnDisk = persist.hardState().orElse(mOnDisk);
            mSyncedNumber = persist.number();
            sendReady();
            decide(new Persisted(persist.number()));
        } else {
            mWaiting.clear();
            decide(new PersistFailed(persist.number(), NO_ROOM));
        }
    }

    private void sendReady() {
        mWaiting.removeIf(
                send -> {
                    boolean isReady = send.afterPersist() <= mSyncedNumber;
                    if (isReady) {
                        mSent.add(send.message());
                    }
                    return isReady;
                });
    }

    private <T> List<T> sent(Class<T> type) {
        return mSent.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
