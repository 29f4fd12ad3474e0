package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementEffect.CheckDisk;
import org.skylarkbend.agreement.AgreementEffect.FailProposal;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.Send;
import org.skylarkbend.agreement.AgreementInput.DiskChecked;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckRequest;
import org.skylarkbend.agreement.AgreementMessage.DiskCheckResponse;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.agreement.AgreementMessage.VoteRequest;
import org.skylarkbend.agreement.AgreementMessage.VoteResponse;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.Test;

/** Tests for the members of a group of three while the disk of one of them fails. */
public class DiskHandOverTest {
    private static final MemberId SELF = new MemberId(ObjectName.of("vm-1"), 1);
    private static final MemberId SECOND = new MemberId(ObjectName.of("vm-2"), 2);
    private static final MemberId THIRD = new MemberId(ObjectName.of("vm-3"), 3);
    private static final Membership MEMBERS = new Membership(List.of(SELF, SECOND, THIRD));
    private static final AgreementOptions OPTIONS = AgreementOptions.defaults();
    private static final long NOW_MILLISECONDS = OPTIONS.electionMinMilliseconds();
    private static final SkylarkError NO_SPACE =
            new SkylarkError(ErrorKind.STORAGE_FAILED, "no space");
    private static final int COMMAND_BYTES = 300_000;
    private static final long HANGING_MILLISECONDS = 2 * OPTIONS.electionMaxMilliseconds();

    /** Guards against a leader that refuses all changes while the others could accept them. */
    @Test
    public void aLeaderThatCannotWriteWhatAQuorumOfTheOthersCanStepsDown() {
        AgreementDecider leader = leader();
        List<AgreementEffect> effects = failProposal(leader, 1);
        assertThat(sent(DiskCheckRequest.class, effects))
                .hasSize(2)
                .allMatch(request -> request.sizeBytes() >= COMMAND_BYTES);
        assertThat(effects).anyMatch(CheckDisk.class::isInstance);
        decide(leader, new DiskChecked(false));
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
        assertThat(decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1))))
                .anyMatch(CheckDisk.class::isInstance);
        decide(leader, new DiskChecked(false));
        assertThat(leader.role()).isEqualTo(MemberRole.FOLLOWER);
    }

    /** Guards against a leader that is lost to its readers although no other could do better. */
    @Test
    public void aLeaderStaysWhenTheOthersCannotWriteEitherOrItsOwnDiskCanAgain() {
        AgreementDecider leader = leader();
        failProposal(leader, 1);
        decide(leader, new DiskChecked(false));
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        decide(leader, new DiskChecked(true));
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
        failProposal(leader, 2);
        decide(leader, new DiskChecked(false));
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        assertThat(decide(leader, new Received(THIRD, new DiskCheckResponse(3, 2))))
                .noneMatch(CheckDisk.class::isInstance);
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a result of a check that began before the disks had room again. */
    @Test
    public void aLeaderChecksItsOwnDiskAgainBeforeItStepsDown() {
        AgreementDecider leader = leader();
        failProposal(leader, 1);
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        assertThat(decide(leader, new DiskChecked(false))).anyMatch(CheckDisk.class::isInstance);
        decide(leader, new DiskChecked(true));
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a proposal that is called refused while followers may have its entry. */
    @Test
    public void aLeaderThatStepsDownCallsProposalsUnknownWhoseEntriesOthersMayHave() {
        AgreementDecider leader = leader();
        List<AgreementEffect> first = decide(leader, propose(1));
        decide(leader, new Persisted(only(Persist.class, first).number()));
        List<FailProposal> refused = all(FailProposal.class, failProposal(leader, 2));
        assertThat(refused).extracting(FailProposal::proposalId).containsExactly(2L);
        assertThat(refused.get(0).error().kind()).isEqualTo(ErrorKind.STORAGE_FAILED);
        decide(leader, new DiskChecked(false));
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        FailProposal unknown = only(FailProposal.class, decide(leader, new DiskChecked(false)));
        assertThat(unknown.proposalId()).isEqualTo(1);
        assertThat(unknown.error().kind()).isEqualTo(ErrorKind.COMMIT_UNKNOWN);
    }

    /** Guards against a check that is lost and leaves a leader that cannot write in place. */
    @Test
    public void aLeaderThatCannotWriteAsksAgain() {
        AgreementDecider leader = leader();
        failProposal(leader, 1);
        decide(leader, new DiskChecked(false));
        List<AgreementEffect> effects =
                leader.decide(new Tick(), NOW_MILLISECONDS + OPTIONS.electionMinMilliseconds());
        assertThat(sent(DiskCheckRequest.class, effects)).hasSize(2);
    }

    /** Guards against a leader whose log cannot be written although other files can. */
    @Test
    public void aLeaderWhoseWritesFailAfterEachPassedCheckStepsDown() {
        AgreementDecider leader = leader();
        failProposal(leader, 1);
        decide(leader, new DiskChecked(true));
        failProposal(leader, 2);
        decide(leader, new DiskChecked(true));
        failProposal(leader, 3);
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 3)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 3)));
        decide(leader, new DiskChecked(true));
        decide(leader, new DiskChecked(true));
        assertThat(leader.role()).isEqualTo(MemberRole.FOLLOWER);
    }

    /** Guards against a change of the leader for failures between which its disk wrote. */
    @Test
    public void aLeaderWhoseDiskWritesBetweenItsFailuresStays() {
        AgreementDecider leader = leader();
        for (int i = 1; i <= 5; i++) {
            failProposal(leader, 2 * i);
            decide(leader, new Received(SECOND, new DiskCheckResponse(3, i)));
            decide(leader, new Received(THIRD, new DiskCheckResponse(3, i)));
            decide(leader, new DiskChecked(true));
            Persist saved = only(Persist.class, decide(leader, propose(2 * i + 1)));
            decide(leader, new Persisted(saved.number()));
        }
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a leader that is lost to its readers because others could write long ago. */
    @Test
    public void aLeaderReliesOnlyOnMembersThatCouldWriteRecently() {
        AgreementDecider leader = leader();
        failProposal(leader, 1);
        decide(leader, new DiskChecked(false));
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        long laterMilliseconds = OPTIONS.electionMaxMilliseconds() + 1;
        long now = NOW_MILLISECONDS + laterMilliseconds;
        tickWithQuorum(leader, laterMilliseconds);
        leader.decide(new DiskChecked(false), now);
        Received third = new Received(THIRD, new DiskCheckResponse(3, 1));
        assertThat(leader.decide(third, now)).noneMatch(CheckDisk.class::isInstance);
        Received second = new Received(SECOND, new DiskCheckResponse(3, 1));
        assertThat(leader.decide(second, now)).anyMatch(CheckDisk.class::isInstance);
        leader.decide(new DiskChecked(false), now);
        assertThat(leader.role()).isEqualTo(MemberRole.FOLLOWER);
    }

    /** Guards against a leader that keeps all changes waiting while its disk hangs. */
    @Test
    public void aLeaderWhoseDiskHangsMakesWayForOthersThatCanWrite() {
        AgreementDecider leader = leader();
        decide(leader, propose(1));
        tickWithQuorum(leader, 0);
        List<AgreementEffect> early = tickWithQuorum(leader, HANGING_MILLISECONDS - 1);
        assertThat(sent(DiskCheckRequest.class, early)).isEmpty();
        List<AgreementEffect> asked = tickWithQuorum(leader, HANGING_MILLISECONDS);
        assertThat(sent(DiskCheckRequest.class, asked))
                .hasSize(2)
                .allMatch(request -> request.sizeBytes() >= COMMAND_BYTES);
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        tickWithQuorum(leader, HANGING_MILLISECONDS);
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        FailProposal unknown =
                only(FailProposal.class, tickWithQuorum(leader, HANGING_MILLISECONDS));
        assertThat(unknown.error().kind()).isEqualTo(ErrorKind.COMMIT_UNKNOWN);
        assertThat(leader.role()).isEqualTo(MemberRole.FOLLOWER);
    }

    /** Guards against a change of the leader when its disk is only slow. */
    @Test
    public void aLeaderWhoseDiskGoesOnWritingStays() {
        AgreementDecider leader = leader();
        long number = only(Persist.class, decide(leader, propose(1))).number();
        tickWithQuorum(leader, 0);
        tickWithQuorum(leader, HANGING_MILLISECONDS);
        decide(leader, new Received(SECOND, new DiskCheckResponse(3, 1)));
        decide(leader, new Received(THIRD, new DiskCheckResponse(3, 1)));
        decide(leader, new Persisted(number));
        decide(leader, propose(2));
        tickWithQuorum(leader, 2 * HANGING_MILLISECONDS - 1);
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a follower that is taken for one that can write. */
    @Test
    public void aFollowerAnswersACheckOnlyWhenItsDiskCanWrite() {
        for (boolean canWrite : List.of(true, false)) {
            AgreementDecider follower = member();
            Received request = new Received(SECOND, new DiskCheckRequest(2, 5, COMMAND_BYTES));
            List<AgreementEffect> asked = decide(follower, request);
            assertThat(only(CheckDisk.class, asked).sizeBytes()).isEqualTo(COMMAND_BYTES);
            assertThat(sent(DiskCheckResponse.class, asked)).isEmpty();
            List<AgreementEffect> checked = decide(follower, new DiskChecked(canWrite));
            assertThat(sent(DiskCheckResponse.class, checked))
                    .isEqualTo(canWrite ? List.of(new DiskCheckResponse(2, 5)) : List.of());
        }
    }

    /** Guards against an entry that counts as replicated but is not on the follower's disk. */
    @Test
    public void aFollowerAcknowledgesAnEntryOnlyOnceItIsSynced() {
        AgreementDecider follower = member();
        LogEntry entry = new LogEntry(11, 2, new EntryContent.NoOperation());
        Received request = new Received(SECOND, new AppendRequest(2, 1, 10, 2, 10, List.of(entry)));
        List<AgreementEffect> effects = decide(follower, request);
        assertThat(sent(AppendResponse.class, effects)).noneMatch(r -> r.matchIndex() > 10);
        Persist refused = only(Persist.class, effects);
        assertThat(decide(follower, new PersistFailed(refused.number(), NO_SPACE)))
                .noneMatch(Send.class::isInstance);
        List<AgreementEffect> again = decide(follower, request);
        assertThat(sent(AppendResponse.class, again)).noneMatch(r -> r.matchIndex() > 10);
        List<AgreementEffect> synced =
                decide(follower, new Persisted(only(Persist.class, again).number()));
        assertThat(sent(AppendResponse.class, synced)).anyMatch(r -> r.matchIndex() == 11);
    }

    /** Guards against a candidate that asks for votes of a term that it may forget. */
    @Test
    public void aCandidateAsksForNoVotesUntilItsOwnIsOnDisk() {
        AgreementDecider candidate = member();
        decide(candidate, new Tick());
        Received preVote = new Received(SECOND, new PreVoteResponse(3, true));
        List<AgreementEffect> standing = decide(candidate, preVote);
        Persist refused = requireVotesAfterOwn(standing);
        assertThat(decide(candidate, new PersistFailed(refused.number(), NO_SPACE)))
                .noneMatch(Send.class::isInstance);
        assertThat(decide(candidate, new Tick()))
                .noneMatch(Persist.class::isInstance)
                .noneMatch(Send.class::isInstance);
        assertThat(candidate.term()).isEqualTo(2);
        long nextElection = NOW_MILLISECONDS + OPTIONS.electionMinMilliseconds();
        candidate.decide(new Tick(), nextElection);
        Persist again = requireVotesAfterOwn(candidate.decide(preVote, nextElection));
        assertThat(again.number()).isGreaterThan(refused.number());
    }

    /** Returns the write of the own vote, which the requests for votes have to wait for. */
    private static Persist requireVotesAfterOwn(List<AgreementEffect> standing) {
        Persist vote = only(Persist.class, standing);
        assertThat(vote.hardState()).contains(new HardState(3, Optional.of(SELF)));
        assertThat(all(Send.class, standing))
                .filteredOn(send -> send.message() instanceof VoteRequest)
                .hasSize(2)
                .allMatch(send -> send.afterPersist() == vote.number());
        return vote;
    }

    /** Processes a tick after this time, until which the others have answered its heartbeats. */
    private static List<AgreementEffect> tickWithQuorum(
            AgreementDecider leader, long afterMilliseconds) {
        long now = NOW_MILLISECONDS + afterMilliseconds;
        leader.decide(new Received(SECOND, new AppendResponse(3, 1, true, 10)), now);
        return leader.decide(new Tick(), now);
    }

    private static List<AgreementEffect> failProposal(AgreementDecider leader, long proposalId) {
        Persist persist = only(Persist.class, decide(leader, propose(proposalId)));
        return decide(leader, new PersistFailed(persist.number(), NO_SPACE));
    }

    private static Propose propose(long proposalId) {
        return new Propose(proposalId, new EntryContent.Command(new byte[COMMAND_BYTES]));
    }

    /** Returns a leader of term 3 whose first entry is on its disk. */
    private static AgreementDecider leader() {
        AgreementDecider leader = member();
        decide(leader, new Tick());
        Received preVote = new Received(SECOND, new PreVoteResponse(3, true));
        Persist vote = only(Persist.class, decide(leader, preVote));
        decide(leader, new Persisted(vote.number()));
        Received granted = new Received(SECOND, new VoteResponse(3, true, 0));
        Persist first = only(Persist.class, decide(leader, granted));
        decide(leader, new Persisted(first.number()));
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
        return leader;
    }

    /** Returns a member of term 2 with a snapshot up to entry 10. */
    private static AgreementDecider member() {
        Snapshot snapshot = new Snapshot(10, 2, MEMBERS, new byte[0]);
        return new AgreementDecider(
                new DurableState(
                        SELF,
                        true,
                        new HardState(2, Optional.empty()),
                        Optional.of(snapshot),
                        List.of()),
                OPTIONS,
                MembershipRules.fixed(Set.of(SELF.vm(), SECOND.vm(), THIRD.vm())),
                bound -> 0,
                0,
                0);
    }

    private static List<AgreementEffect> decide(AgreementDecider decider, AgreementInput input) {
        return decider.decide(input, NOW_MILLISECONDS);
    }

    private static <T> List<T> sent(Class<T> type, List<AgreementEffect> effects) {
        return all(Send.class, effects).stream()
                .map(Send::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private static <T> List<T> all(Class<T> type, List<AgreementEffect> effects) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static <T> T only(Class<T> type, List<AgreementEffect> effects) {
        List<T> found = all(type, effects);
        assertThat(found).hasSize(1);
        return found.get(0);
    }
}
