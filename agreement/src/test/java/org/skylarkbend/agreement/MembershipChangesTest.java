package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.skylarkbend.agreement.AgreementEffect.MemberChangeDecided;
import org.skylarkbend.agreement.AgreementMessage.LeaveResponse;
import org.testng.annotations.Test;

/** Tests which members a leader adds and removes, and when. */
public class MembershipChangesTest {
    private static final long ELECTION_MILLISECONDS =
            LeaderOfGroup.OPTIONS.electionMaxMilliseconds();
    private static final long ONE_HEARTBEAT_MILLISECONDS =
            LeaderOfGroup.OPTIONS.heartbeatMilliseconds();
    private static final long SILENCE_MILLISECONDS = LeaderOfGroup.REMOVE_UNRESPONSIVE_MILLISECONDS;

    /** Guards against members that are gone for good and count because their number is odd. */
    @Test
    public void aGroupOfSevenRemovesSilentMembersOneByOneDownToFive() {
        LeaderOfGroup group = new LeaderOfGroup(7);
        group.silence(5, 6, 7);
        group.runFor(2 * SILENCE_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(6, 5);
        assertThat(group.voters()).contains(LeaderOfGroup.member(7));
    }

    @Test
    public void aGroupOfFiveKeepsItsSilentMembersWhileNoOtherCanTakeTheirPlaces() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.silence(4, 5);
        group.runFor(5 * SILENCE_MILLISECONDS);
        assertThat(group.voterCounts()).isEmpty();
    }

    /** Guards against a new member that raises the quorum before the lost one is out. */
    @Test
    public void aNewMemberIsTakenInOnlyAfterTheSilentOneWhosePlaceItTakesIsOut() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.silence(5);
        group.runFor(ELECTION_MILLISECONDS + ELECTION_MILLISECONDS / 2);
        group.join(6);
        group.runFor(SILENCE_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(4, 5);
        assertThat(group.voters())
                .isEqualTo(List.of(1, 2, 3, 4, 6).stream().map(LeaderOfGroup::member).toList());
    }

    /** Guards against members that are gone and count on sites that name no number of losses. */
    @Test
    public void aGroupThatKnowsNoNumberOfLossesStillBearsOneAfterAMemberWasReplaced() {
        LeaderOfGroup group = LeaderOfGroup.withUnknownLosses(3);
        group.silence(3);
        group.runFor(2 * SILENCE_MILLISECONDS);
        group.join(4);
        group.runFor(2 * SILENCE_MILLISECONDS);
        group.silence(2);
        group.runFor(4 * ELECTION_MILLISECONDS);
        assertThat(group.decider().role()).as("%s", group.voters()).isEqualTo(MemberRole.LEADER);
    }

    /** Guards against a leader that ends as planned and is told that it is needed, and counts. */
    @Test
    public void aLeaderThatLeavesItsTwoSuccessorsIsNoVoterWhereTheLossesAreNotKnown() {
        LeaderOfGroup group = LeaderOfGroup.withUnknownLosses(3);
        group.join(4);
        group.join(5);
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(4, 5);
        group.decide(new AgreementInput.Leave());
        group.runFor(ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.effects(AgreementEffect.LeaveDecided.class))
                .containsExactly(new AgreementEffect.LeaveDecided(LeaveOutcome.REMOVED));
        assertThat(group.voters()).doesNotContain(LeaderOfGroup.member(1));
    }

    /** Guards against a VM that ends as planned beside three losses and is a fourth one. */
    @Test
    public void aGroupThatToleratesThreeLossesTakesInTwoSuccessorsBeforeTheOthersEnd() {
        LeaderOfGroup group = LeaderOfGroup.tolerating(3);
        group.join(8);
        group.join(9);
        group.join(10);
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(8, 9);
    }

    @Test
    public void aNewMemberIsTakenInAtOnceWhileAllOthersRespond() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.join(6);
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(6);
    }

    /** Guards against a live member that leaves in place of one that is gone. */
    @Test
    public void aMemberThatLeavesIsKeptUntilAnotherOneThatDoesNotRespondIsOut() {
        LeaderOfGroup group = new LeaderOfGroup(6, 5);
        group.leave(6);
        group.runFor(ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.voterCounts()).isEmpty();
        group.runFor(2 * SILENCE_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(5);
        assertThat(group.voters()).doesNotContain(LeaderOfGroup.member(5));
    }

    /** Guards against a voter that counts but is never served, as its removal was not saved. */
    @Test
    public void aVoterWhoseRemovalWasNotSavedIsServedAgain() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.leave(5);
        group.join(6);
        group.holdWrites();
        group.runFor(2 * ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.voters()).doesNotContain(LeaderOfGroup.member(5));
        group.silence(6);
        group.runFor(ELECTION_MILLISECONDS + ONE_HEARTBEAT_MILLISECONDS);
        group.failHeldWrites();
        assertThat(group.voters()).contains(LeaderOfGroup.member(5));
        int sent = group.sentTo(5).size();
        group.runFor(4 * ELECTION_MILLISECONDS);
        assertThat(group.decider().role()).isEqualTo(MemberRole.LEADER);
        assertThat(group.sentTo(5)).hasSizeGreaterThan(sent + 10);
    }

    /** Guards against a member that was stopped as planned and counts until it is noticed. */
    @Test
    public void aMemberThatIsNotNeededIsRemovedAtOnceWhenItLeavesAndToldSo() {
        LeaderOfGroup group = new LeaderOfGroup(6);
        group.leave(6);
        group.runFor(ONE_HEARTBEAT_MILLISECONDS);
        group.leave(6);
        assertThat(group.voterCounts()).containsExactly(5);
        assertThat(group.sentTo(6)).contains(new LeaveResponse(true));
        assertThat(group.sentTo(6)).doesNotContain(new LeaveResponse(false));
    }

    @Test
    public void aMemberThatIsNeededRemainsWhenItLeavesAndIsToldSo() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.leave(5);
        group.runFor(ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.voterCounts()).isEmpty();
        assertThat(group.sentTo(5)).contains(new LeaveResponse(false));
    }

    /** Guards against a quorum that is raised while a member is about to be lost. */
    @Test
    public void aNewMemberTakesThePlaceOfANeededOneThatLeaves() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.leave(5);
        group.join(6);
        group.runFor(3 * ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(4, 5);
        assertThat(group.voters()).doesNotContain(LeaderOfGroup.member(5));
    }

    @Test
    public void aLeaderThatIsNotNeededCommitsItsOwnRemovalAndStepsDownWhenItLeaves() {
        LeaderOfGroup group = new LeaderOfGroup(6);
        group.decide(new AgreementInput.Leave());
        group.runFor(ONE_HEARTBEAT_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(5);
        assertThat(group.decider().role()).isEqualTo(MemberRole.FOLLOWER);
        assertThat(group.effects())
                .contains(new AgreementEffect.LeaveDecided(LeaveOutcome.REMOVED))
                .noneMatch(AgreementEffect.Broadcast.class::isInstance);
    }

    @Test
    public void aLeaderThatIsNeededRemainsWhenItLeaves() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.decide(new AgreementInput.Leave());
        assertThat(group.effects())
                .contains(new AgreementEffect.LeaveDecided(LeaveOutcome.REMAINS));
    }

    @Test
    public void eachChangeIsReportedWithTheReasonForIt() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.join(6);
        group.runFor(ELECTION_MILLISECONDS);
        group.silence(5);
        group.runFor(2 * SILENCE_MILLISECONDS);
        assertThat(group.effects(MemberChangeDecided.class))
                .containsExactly(
                        new MemberChangeDecided(
                                LeaderOfGroup.member(6), true, new ChangeReason.Joined(), 6, 5),
                        new MemberChangeDecided(
                                LeaderOfGroup.member(5),
                                false,
                                new ChangeReason.Silent(
                                        SILENCE_MILLISECONDS + ONE_HEARTBEAT_MILLISECONDS / 2,
                                        SILENCE_MILLISECONDS),
                                5,
                                5));
    }

    /** Guards against losses that are noticed only when there is no quorum any more. */
    @Test
    public void aMarginBelowTheToleratedLossesIsNewsOnceAndSoIsItsReturn() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.silence(5);
        group.runFor(2 * ELECTION_MILLISECONDS);
        assertThat(group.news()).containsExactly(new LossMargin(5, 3, 2, members(5)));
        assertThat(group.news().get(0).isLow()).isTrue();
        group.silence(4);
        group.runFor(2 * ELECTION_MILLISECONDS);
        assertThat(group.news())
                .hasSize(2)
                .last()
                .isEqualTo(new LossMargin(5, 3, 2, members(4, 5)));
        assertThat(group.news().get(1).furtherLosses()).isZero();
        group.join(4);
        group.join(5);
        group.runFor(2 * ELECTION_MILLISECONDS);
        assertThat(group.news()).last().isEqualTo(new LossMargin(5, 3, 2, List.of()));
        assertThat(group.news()).hasSize(3);
    }

    @Test
    public void aNewLeaderReportsItsMarginOnceItKnowsWhoResponds() {
        LeaderOfGroup group = new LeaderOfGroup(5, 4);
        group.runFor(ELECTION_MILLISECONDS / 2);
        assertThat(group.news()).isEmpty();
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.news()).containsExactly(new LossMargin(5, 3, 2, members(4)));
    }

    private static List<MemberId> members(int... numbers) {
        return IntStream.of(numbers).mapToObj(LeaderOfGroup::member).toList();
    }

    /** Guards against a vote that a member lost by pausing, and does not get back. */
    @Test
    public void aRemovedMemberThatHadOnlyPausedBecomesAVoterAgain() {
        LeaderOfGroup group = new LeaderOfGroup(6);
        group.silence(6);
        group.runFor(2 * SILENCE_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(5);
        group.join(6);
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(5, 6);
    }
}
