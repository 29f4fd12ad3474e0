package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which members a leader adds and removes, and when. */
public class MembershipChangesTest {
    private static final long ELECTION_MILLISECONDS =
            LeaderOfGroup.OPTIONS.electionMaxMilliseconds();
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

    @Test
    public void aNewMemberIsTakenInAtOnceWhileAllOthersRespond() {
        LeaderOfGroup group = new LeaderOfGroup(5);
        group.join(6);
        group.runFor(ELECTION_MILLISECONDS);
        assertThat(group.voterCounts()).containsExactly(6);
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
