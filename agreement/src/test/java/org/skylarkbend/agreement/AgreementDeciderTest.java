package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.AppendResponse;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.Test;

/** Tests for single inputs to {@link AgreementDecider}. */
public class AgreementDeciderTest {
    private static final MemberId SELF = new MemberId(ObjectName.of("vm-1"), 1);
    private static final MemberId LEADER = new MemberId(ObjectName.of("vm-2"), 2);
    private static final long ELECTION_AT_MILLISECONDS =
            AgreementOptions.defaults().electionMinMilliseconds();
    private static final Membership MEMBERS = new Membership(List.of(SELF, LEADER));

    @Test
    public void aResponseToARequestOfAnOlderTermEchoesNoRound() {
        DurableState durable =
                new DurableState(
                        SELF, new HardState(3, Optional.empty()), Optional.empty(), List.of());
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
                        SELF, new HardState(2, Optional.empty()), Optional.of(snapshot), List.of());
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

    private static DurableState voterWithSnapshot() {
        Snapshot snapshot = new Snapshot(10, 2, MEMBERS, new byte[0]);
        return new DurableState(
                SELF, new HardState(2, Optional.empty()), Optional.of(snapshot), List.of());
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
