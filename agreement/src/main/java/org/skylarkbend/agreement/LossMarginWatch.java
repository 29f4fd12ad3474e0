package org.skylarkbend.agreement;

import java.util.List;
import java.util.Optional;

/** Reports on the leader how many more losses the log bears, and when that becomes too few. */
final class LossMarginWatch {
    private final MemberState mState;
    private final LeaderReplication mLeaderReplication;
    private final MembershipRules mRules;
    private Optional<LossMargin> mReported = Optional.empty();
    private long mTermStartedMilliseconds;

    LossMarginWatch(MemberState state, LeaderReplication replication, MembershipRules rules) {
        mState = state;
        mLeaderReplication = replication;
        mRules = rules;
    }

    void startTerm(long nowMilliseconds) {
        mReported = Optional.empty();
        mTermStartedMilliseconds = nowMilliseconds;
    }

    /**
     * Reports a changed margin. A new leader knows the margin once all voters have responded to it,
     * or have had the time to.
     */
    void tick(long nowMilliseconds) {
        Membership membership = mState.mLog.membership();
        List<MemberId> silent =
                membership.voters().stream()
                        .filter(voter -> !mLeaderReplication.responds(voter, nowMilliseconds))
                        .toList();
        boolean isKnown =
                silent.isEmpty()
                        || nowMilliseconds - mTermStartedMilliseconds
                                > mState.mOptions.electionMaxMilliseconds();
        LossMargin margin =
                new LossMargin(
                        membership.voters().size(),
                        membership.quorum(),
                        mRules.toleratedLosses(membership.voters().size()),
                        silent);
        if (!isKnown || mReported.filter(margin::equals).isPresent()) {
            return;
        }
        boolean isNews =
                mReported.map(reported -> reported.isLow() != margin.isLow()).orElse(true)
                        || mReported.get().furtherLosses() > margin.furtherLosses()
                                && margin.isLow();
        mReported = Optional.of(margin);
        mState.mOutbox.add(new AgreementEffect.LossMarginChanged(margin, isNews));
    }
}
