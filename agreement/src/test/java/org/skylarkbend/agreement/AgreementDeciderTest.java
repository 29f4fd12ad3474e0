package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementEffect.Persist;
import org.skylarkbend.agreement.AgreementEffect.SaveSnapshot;
import org.skylarkbend.agreement.AgreementEffect.TakeSnapshot;
import org.skylarkbend.agreement.AgreementInput.PersistFailed;
import org.skylarkbend.agreement.AgreementInput.Persisted;
import org.skylarkbend.agreement.AgreementInput.Propose;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.SnapshotTaken;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.SkylarkError;
import org.testng.annotations.Test;

/** Tests for single inputs to {@link AgreementDecider}. */
public class AgreementDeciderTest {
    private static final MemberId SELF = new MemberId(ObjectName.of("vm-1"), 1);
    private static final MemberId LEADER = new MemberId(ObjectName.of("vm-2"), 2);
    private static final long ELECTION_AT_MILLISECONDS =
            AgreementOptions.defaults().electionMinMilliseconds();
    private static final Membership MEMBERS = new Membership(List.of(SELF, LEADER));

    private static final long START_MILLISECONDS = 10_000;
    private static final long ELECTED_MILLISECONDS = START_MILLISECONDS + 1_000;
    private static final int COMMAND_BYTES = 1_000;
    private static final AgreementOptions SMALL =
            new AgreementOptions(
                    50, 150, 300, false, 10, 1_000, 10_000, 200, 5_000, 30_000, 100_000);

    @Test
    public void aResponseToARequestOfAnOlderTermEchoesNoRound() {
        DurableState durable =
                new DurableState(
                        SELF,
                        true,
                        new HardState(3, Optional.empty()),
                        Optional.empty(),
                        List.of());
        AgreementDecider decider = member(durable);
        AppendRequest request = new AppendRequest(2, 28, 0, 0, 0, List.of());
        assertThat(decider.decide(new Received(LEADER, request), 1))
                .contains(new AgreementEffect.Send(LEADER, new AppendResponse(3, 0, false, 0), 0));
    }

    @Test
    public void aFollowerRespondsToCompactedEntriesWithItsCommitIndex() {
        Snapshot snapshot = new Snapshot(10, 2, MEMBERS, new byte[0]);
        DurableState durable =
                new DurableState(
                        SELF,
                        true,
                        new HardState(2, Optional.empty()),
                        Optional.of(snapshot),
                        List.of());
        AgreementDecider decider = member(durable);
        AppendRequest request = new AppendRequest(2, 1, 5, 1, 5, List.of());
        assertThat(decider.decide(new Received(LEADER, request), 1))
                .contains(new AgreementEffect.Send(LEADER, new AppendResponse(2, 1, true, 10), 0));
    }

    @Test
    public void aLeaderCommitsNothingOfAnOlderTermBeforeAnEntryOfItsOwn() {
        AgreementDecider leader = elected();
        assertThat(run(leader, new Received(LEADER, new AppendResponse(3, 1, true, 11))))
                .noneMatch(AgreementEffect.Apply.class::isInstance);
        assertThat(run(leader, new Received(LEADER, new AppendResponse(3, 1, true, 12))))
                .filteredOn(AgreementEffect.Apply.class::isInstance)
                .hasSize(2);
    }

    @Test
    public void aReadIsConfirmedOnlyByARoundThatBeganAfterIt() {
        AgreementDecider leader = elected();
        run(leader, new Received(LEADER, new AppendResponse(3, 1, true, 12)));
        AgreementEffect confirmed = new AgreementEffect.LeadershipConfirmed(7, 12);
        assertThat(run(leader, new AgreementInput.ConfirmLeadership(7))).doesNotContain(confirmed);
        assertThat(run(leader, new Received(LEADER, new AppendResponse(3, 1, true, 12))))
                .doesNotContain(confirmed);
        assertThat(run(leader, new Received(LEADER, new AppendResponse(3, 2, true, 12))))
                .contains(confirmed);
    }

    @Test
    public void aMemberWhoseProcessStartedBeforeTheElectionTimeoutAsksForVotesSoon() {
        DurableState durable = voterWithSnapshot();
        long soonMilliseconds = AgreementOptions.defaults().electionMinMilliseconds() / 2;
        AgreementInput tick = new AgreementInput.Tick();
        assertThat(member(durable, 0).decide(tick, soonMilliseconds))
                .noneMatch(AgreementDeciderTest::isPreVoteRequest);
        assertThat(member(durable, -10_000).decide(tick, soonMilliseconds))
                .anyMatch(AgreementDeciderTest::isPreVoteRequest);
    }

    @Test
    public void aMemberMayVoteAtOnceOnlyIfItsProcessIsOlderThanTheElectionTimeout() {
        DurableState durable = voterWithSnapshot();
        Received request = new Received(LEADER, new AgreementMessage.PreVoteRequest(3, 10, 2));
        AgreementEffect granted =
                new AgreementEffect.Send(LEADER, new AgreementMessage.PreVoteResponse(3, true), 0);
        assertThat(member(durable, 0).decide(request, 1)).doesNotContain(granted);
        assertThat(member(durable, -10_000).decide(request, 1)).contains(granted);
    }

    @Test
    public void aSnapshotKeepsNoMoreBytesOfOlderEntriesThanTheOptionsAllow() {
        AgreementDecider alone = leaderAlone();
        List<AgreementEffect> effects = proposeUntilSnapshot(alone);
        SaveSnapshot save = only(SaveSnapshot.class, effects);
        long keptBytes = save.remaining().stream().mapToLong(LogEntry::sizeBytes).sum();
        assertThat(keptBytes).isPositive().isLessThanOrEqualTo(SMALL.retainedBytes());
    }

    /** Guards against a log that grows without end while snapshots cannot be saved. */
    @Test
    public void aLeaderWithoutRoomInItsLogRefusesProposalsUntilASnapshotIsSaved() {
        AgreementDecider alone = leaderAlone();
        SaveSnapshot failed = only(SaveSnapshot.class, proposeUntilSnapshot(alone));
        SkylarkError noSpace = new SkylarkError(ErrorKind.STORAGE_FAILED, "no space");
        alone.decide(new PersistFailed(failed.number(), noSpace), ELECTED_MILLISECONDS);
        List<AgreementEffect> effects = List.of();
        int accepted = 0;
        while (effects.stream().noneMatch(AgreementEffect.FailProposal.class::isInstance)) {
            effects = persisted(alone, propose(++accepted), ELECTED_MILLISECONDS);
            assertThat((long) accepted * COMMAND_BYTES).isLessThanOrEqualTo(SMALL.maxLogBytes());
        }
        assertThat(only(AgreementEffect.FailProposal.class, effects).error().kind())
                .isEqualTo(ErrorKind.OVERLOADED);
        List<AgreementEffect> retried =
                persisted(alone, new AgreementInput.Tick(), ELECTED_MILLISECONDS + 1_000);
        TakeSnapshot take = only(TakeSnapshot.class, retried);
        SnapshotTaken taken = new SnapshotTaken(take.index(), new byte[1]);
        SaveSnapshot saved = only(SaveSnapshot.class, alone.decide(taken, ELECTED_MILLISECONDS));
        alone.decide(new Persisted(saved.number()), ELECTED_MILLISECONDS);
        assertThat(persisted(alone, propose(++accepted), ELECTED_MILLISECONDS))
                .noneMatch(AgreementEffect.FailProposal.class::isInstance);
    }

    /**
     * Guards against reads that wait for ever because the first entry of a term was not written.
     */
    @Test
    public void aLeaderWhoseFirstEntryWasNotWrittenAppendsAnotherOne() {
        AgreementDecider leader = member(voterWithSnapshot(), -10_000);
        run(leader, new AgreementInput.Tick());
        run(leader, new Received(LEADER, new AgreementMessage.PreVoteResponse(3, true)));
        Received vote = new Received(LEADER, new AgreementMessage.VoteResponse(3, true, 0));
        Persist first = only(Persist.class, leader.decide(vote, ELECTION_AT_MILLISECONDS));
        SkylarkError noSpace = new SkylarkError(ErrorKind.STORAGE_FAILED, "no space");
        leader.decide(new PersistFailed(first.number(), noSpace), ELECTION_AT_MILLISECONDS);
        List<AgreementEffect> effects =
                leader.decide(
                        new AgreementInput.Tick(),
                        ELECTION_AT_MILLISECONDS
                                + AgreementOptions.defaults().heartbeatMilliseconds());
        assertThat(only(Persist.class, effects).entries()).isEqualTo(first.entries());
    }

    /** Guards against reads that wait and add up while the first entry is not committed. */
    @Test
    public void aReadThatCannotBeConfirmedForLongFails() {
        AgreementDecider leader = elected();
        run(leader, new AgreementInput.ConfirmLeadership(7));
        long late =
                ELECTION_AT_MILLISECONDS + AgreementOptions.defaults().electionMaxMilliseconds();
        leader.decide(new Received(LEADER, new AppendResponse(3, 1, true, 10)), late - 1);
        assertThat(leader.decide(new AgreementInput.Tick(), late - 1))
                .noneMatch(AgreementEffect.ConfirmationFailed.class::isInstance);
        leader.decide(new AgreementInput.ConfirmLeadership(8), late);
        AgreementEffect.ConfirmationFailed failed =
                only(
                        AgreementEffect.ConfirmationFailed.class,
                        leader.decide(new AgreementInput.Tick(), late + 1));
        assertThat(failed.confirmationId()).isEqualTo(7);
        assertThat(failed.error().kind()).isEqualTo(ErrorKind.NO_LEADER);
        assertThat(leader.role()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a proposal that is called refused and comes back after a restart. */
    @Test
    public void aProposalThatMayBeOnDiskInSpiteOfTheFailureIsCalledUnknown() {
        for (ErrorKind kind : List.of(ErrorKind.STORAGE_FAILED, ErrorKind.COMMIT_UNKNOWN)) {
            AgreementDecider alone = leaderAlone();
            Persist persist = only(Persist.class, alone.decide(propose(1), ELECTED_MILLISECONDS));
            PersistFailed failed =
                    new PersistFailed(persist.number(), new SkylarkError(kind, "no space"));
            List<AgreementEffect> effects = alone.decide(failed, ELECTED_MILLISECONDS);
            assertThat(only(AgreementEffect.FailProposal.class, effects).error().kind())
                    .isEqualTo(kind);
        }
    }

    /** Returns the effects of proposals up to the first snapshot, which is not saved yet. */
    private static List<AgreementEffect> proposeUntilSnapshot(AgreementDecider leader) {
        for (int number = 1; number < SMALL.snapshotAfterEntries(); number++) {
            List<AgreementEffect> effects =
                    persisted(leader, propose(number), ELECTED_MILLISECONDS);
            for (AgreementEffect effect : effects) {
                if (effect instanceof TakeSnapshot take) {
                    SnapshotTaken taken = new SnapshotTaken(take.index(), new byte[1]);
                    return leader.decide(taken, ELECTED_MILLISECONDS);
                }
            }
        }
        throw new AssertionError("no snapshot was taken");
    }

    private static AgreementInput propose(int number) {
        return new Propose(number, new EntryContent.Command(new byte[COMMAND_BYTES]));
    }

    /** Returns the only member of a group, as its leader. */
    private static AgreementDecider leaderAlone() {
        Snapshot snapshot = new Snapshot(10, 2, new Membership(List.of(SELF)), new byte[0]);
        AgreementDecider decider =
                new AgreementDecider(
                        new DurableState(
                                SELF,
                                true,
                                new HardState(2, Optional.empty()),
                                Optional.of(snapshot),
                                List.of()),
                        SMALL,
                        MembershipRules.fixed(Set.of(SELF.vm())),
                        bound -> 0,
                        0,
                        START_MILLISECONDS);
        persisted(decider, new AgreementInput.Tick(), ELECTED_MILLISECONDS);
        assertThat(decider.role()).isEqualTo(MemberRole.LEADER);
        return decider;
    }

    /** Processes an input and syncs every entry that it appends. Snapshots are not saved. */
    private static List<AgreementEffect> persisted(
            AgreementDecider decider, AgreementInput input, long nowMilliseconds) {
        List<AgreementEffect> effects = new ArrayList<>(decider.decide(input, nowMilliseconds));
        for (AgreementEffect effect : List.copyOf(effects)) {
            if (effect instanceof AgreementEffect.Persist persist) {
                effects.addAll(
                        persisted(decider, new Persisted(persist.number()), nowMilliseconds));
            }
        }
        return effects;
    }

    private static <T> T only(Class<T> type, List<AgreementEffect> effects) {
        List<T> found = effects.stream().filter(type::isInstance).map(type::cast).toList();
        assertThat(found).hasSize(1);
        return found.get(0);
    }

    private static DurableState voterWithSnapshot() {
        Snapshot snapshot = new Snapshot(10, 2, MEMBERS, new byte[0]);
        return new DurableState(
                SELF, true, new HardState(2, Optional.empty()), Optional.of(snapshot), List.of());
    }

    private static boolean isPreVoteRequest(AgreementEffect effect) {
        return effect instanceof AgreementEffect.Send send
                && send.message() instanceof AgreementMessage.PreVoteRequest;
    }

    /** Returns a leader of term 3 whose log has entry 11 of term 2 and its own first entry 12. */
    private static AgreementDecider elected() {
        LogEntry old = new LogEntry(11, 2, new EntryContent.Command(new byte[] {1}));
        Snapshot snapshot = new Snapshot(10, 2, MEMBERS, new byte[0]);
        AgreementDecider decider =
                member(
                        new DurableState(
                                SELF,
                                true,
                                new HardState(2, Optional.empty()),
                                Optional.of(snapshot),
                                List.of(old)));
        run(decider, new AgreementInput.Tick());
        run(decider, new Received(LEADER, new AgreementMessage.PreVoteResponse(3, true)));
        run(decider, new Received(LEADER, new AgreementMessage.VoteResponse(3, true, 0)));
        assertThat(decider.role()).isEqualTo(MemberRole.LEADER);
        return decider;
    }

    /** Processes an input and syncs every resulting write immediately. */
    private static List<AgreementEffect> run(AgreementDecider decider, AgreementInput input) {
        List<AgreementEffect> effects =
                new ArrayList<>(decider.decide(input, ELECTION_AT_MILLISECONDS));
        for (AgreementEffect effect : List.copyOf(effects)) {
            if (effect instanceof AgreementEffect.Persist persist) {
                effects.addAll(run(decider, new AgreementInput.Persisted(persist.number())));
            }
        }
        return effects;
    }

    private static AgreementDecider member(DurableState durable) {
        return member(durable, 0);
    }

    private static AgreementDecider member(DurableState durable, long startedMilliseconds) {
        return new AgreementDecider(
                durable,
                AgreementOptions.defaults(),
                MembershipRules.fixed(Set.of(SELF.vm(), LEADER.vm())),
                bound -> 0,
                startedMilliseconds,
                0);
    }
}
