package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.agreement.AgreementInput.Leave;
import org.skylarkbend.agreement.AgreementInput.Received;
import org.skylarkbend.agreement.AgreementInput.Tick;
import org.skylarkbend.agreement.AgreementMessage.AppendRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteRequest;
import org.skylarkbend.agreement.AgreementMessage.PreVoteResponse;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a member that is about to end stands for election. */
public class LeavingMemberTest {
    private static final MemberId SELF = new MemberId(ObjectName.of("vm-1"), 1);
    private static final MemberId LEADER = new MemberId(ObjectName.of("vm-2"), 2);
    private static final MemberId OTHER = new MemberId(ObjectName.of("vm-3"), 3);
    private static final AgreementOptions OPTIONS = AgreementOptions.defaults();
    private static final long TICK_MILLISECONDS = OPTIONS.heartbeatMilliseconds() / 2;
    private static final long HEARD_AT_MILLISECONDS = 10_000;

    private AgreementDecider mMember;
    private long mNowMilliseconds;

    @BeforeMethod
    public void hearFromTheLeader() {
        Membership members = new Membership(List.of(SELF, LEADER, OTHER));
        mMember =
                new AgreementDecider(
                        new DurableState(
                                SELF,
                                true,
                                new HardState(2, Optional.empty()),
                                Optional.of(new Snapshot(10, 2, members, new byte[0])),
                                List.of()),
                        OPTIONS,
                        MembershipRules.fixed(Set.of(SELF.vm(), LEADER.vm(), OTHER.vm())),
                        bound -> 0,
                        0,
                        0);
        mNowMilliseconds = HEARD_AT_MILLISECONDS;
        decide(new Received(LEADER, new AppendRequest(2, 1, 10, 2, 10, List.of())));
    }

    /** Guards against a leader that ends as soon as it is elected, and another election. */
    @Test
    public void aMemberThatLeavesLetsTheOthersStandFirst() {
        decide(new Leave());
        assertThat(standsWithin(OPTIONS.electionMaxMilliseconds())).isFalse();
    }

    /** Guards against a group without a leader, because only this member has the newest entries. */
    @Test
    public void aMemberThatLeavesStandsIfNobodyElseIsElected() {
        decide(new Leave());
        assertThat(standsWithin(2 * OPTIONS.electionMaxMilliseconds())).isTrue();
    }

    @Test
    public void aMemberThatAsksForVotesGivesUpWhenItLeaves() {
        assertThat(standsWithin(OPTIONS.electionMaxMilliseconds())).isTrue();
        decide(new Leave());
        decide(new Received(OTHER, new PreVoteResponse(3, true)));
        assertThat(mMember.role()).isEqualTo(MemberRole.FOLLOWER);
    }

    private boolean standsWithin(long milliseconds) {
        long endMilliseconds = mNowMilliseconds + milliseconds;
        boolean stands = false;
        while (mNowMilliseconds < endMilliseconds && !stands) {
            mNowMilliseconds += TICK_MILLISECONDS;
            stands = decide(new Tick()).stream().anyMatch(LeavingMemberTest::isPreVoteRequest);
        }
        return stands;
    }

    private List<AgreementEffect> decide(AgreementInput input) {
        return mMember.decide(input, mNowMilliseconds);
    }

    private static boolean isPreVoteRequest(AgreementEffect effect) {
        return effect instanceof AgreementEffect.Send send
                && send.message() instanceof PreVoteRequest;
    }
}
