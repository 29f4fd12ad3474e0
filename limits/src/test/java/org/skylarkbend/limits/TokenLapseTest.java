package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareMessage.LimitsPublished;
import org.skylarkbend.limits.LimitShareMessage.OwnerMessageReceived;
import org.skylarkbend.limits.LimitShareMessage.Release;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.skylarkbend.limits.LimitShareMessage.Suspended;
import org.skylarkbend.limits.LimitShareMessage.Wake;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a gateway gives up its tokens. */
public class TokenLapseTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final long TERM = 1;
    private static final long GRANTED_TOKENS = 100;
    private static final long STEP_MILLISECONDS = 1_000;

    private LimitShareDecider mGateway;
    private long mNowMilliseconds;
    private long mLastCall;
    private Report mLastReport;

    /** Grants tokens for a call that has left again. */
    @BeforeMethod
    public void grantTokens() {
        mNowMilliseconds = 0;
        mLastCall = 0;
        mGateway = new LimitShareDecider(POLICY, 0);
        decide(new LimitsPublished(List.of(new CustomerLimit(CUSTOMER, 10_000, 10_000))));
        decide(new OwnerMessageReceived(new TermBegan(TERM)));
        isAdmitted();
        mNowMilliseconds = POLICY.reportMilliseconds();
        decide(new Wake());
        confirm(mLastReport, GRANTED_TOKENS);
        assertThat(mGateway.freeTokens(CUSTOMER)).isEqualTo(GRANTED_TOKENS);
    }

    /** Guards against tokens that a gateway spends after the owner has stopped counting them. */
    @Test
    public void aGatewayWithoutAConfirmedReportGivesUpItsTokens() {
        mNowMilliseconds += POLICY.lapseMilliseconds();
        assertThat(isAdmitted()).isFalse();
        assertThat(mGateway.heldTokens(CUSTOMER)).isZero();
    }

    /** Guards against a lapse that operators cannot see, or see again with each message. */
    @Test
    public void aLapseIsReportedOnce() {
        mNowMilliseconds += POLICY.lapseMilliseconds();
        assertThat(decide(new Wake())).contains(new LimitShareEffect.Lapsed(GRANTED_TOKENS));
        assertThat(decide(new Wake()))
                .noneMatch(effect -> effect instanceof LimitShareEffect.Lapsed);
    }

    @Test
    public void aGatewayThatIsCutOffForLessThanTheLapseServesFromItsTokens() {
        mNowMilliseconds += POLICY.lapseMilliseconds() - STEP_MILLISECONDS;
        assertThat(isAdmitted()).isTrue();
    }

    @Test
    public void aGatewayWithConfirmedReportsKeepsItsTokens() {
        for (int i = 0; i < 2 * POLICY.lapseMilliseconds() / STEP_MILLISECONDS; i++) {
            isAdmitted();
            mNowMilliseconds += STEP_MILLISECONDS;
            decide(new Wake());
            confirm(mLastReport, GRANTED_TOKENS);
        }
        assertThat(isAdmitted()).isTrue();
    }

    /** Guards against tokens that outlive a suspension, which the steady clock does not count. */
    @Test
    public void timeInSuspensionCounts() {
        decide(new Suspended(POLICY.lapseMilliseconds()));
        assertThat(isAdmitted()).isFalse();
    }

    /** Guards against an old confirmation that makes tokens last longer than the owner counts. */
    @Test
    public void aLateConfirmationCountsFromTheTimeOfItsReport() {
        Report early = mLastReport;
        mNowMilliseconds += POLICY.lapseMilliseconds() - STEP_MILLISECONDS;
        decide(new Wake());
        confirm(early, GRANTED_TOKENS);
        mNowMilliseconds += STEP_MILLISECONDS;
        assertThat(isAdmitted()).isFalse();
    }

    /** Guards against grants that the owner has stopped counting before they arrive. */
    @Test
    public void grantsThatWereOnTheirWayWhenTokensLapsedAreGivenUp() {
        Report early = mLastReport;
        mNowMilliseconds += POLICY.lapseMilliseconds();
        decide(new Wake());
        Report late = mLastReport;
        confirm(early, 2 * GRANTED_TOKENS);
        assertThat(mGateway.heldTokens(CUSTOMER)).isZero();
        confirm(late, 3 * GRANTED_TOKENS);
        assertThat(mGateway.heldTokens(CUSTOMER)).isZero();
        confirm(late, 4 * GRANTED_TOKENS);
        assertThat(mGateway.heldTokens(CUSTOMER)).isEqualTo(GRANTED_TOKENS);
    }

    /** Guards against a refusal below the limit because the first grant is given up. */
    @Test
    public void longAfterControlIsBackACallIsServedWithTheFirstGrant() {
        lapseAndBeConfirmedForLong();
        long callId = ++mLastCall;
        List<LimitShareEffect> effects = new ArrayList<>(decide(new Reserve(callId, CUSTOMER, 1)));
        effects.addAll(decide(new OwnerMessageReceived(grants(mLastReport, 2 * GRANTED_TOKENS))));
        assertThat(effects).contains(new Admit(callId));
    }

    /** Guards against a refusal below the limit by an owner that takes 60 ms to respond. */
    @Test
    public void longAfterControlIsBackACallIsServedByAnOwnerThatRespondsWithinItsWait() {
        lapseAndBeConfirmedForLong();
        long callId = ++mLastCall;
        boolean isAdmitted = decide(new Reserve(callId, CUSTOMER, 1)).contains(new Admit(callId));
        for (int round = 2; round <= 3; round++) {
            Report report = mLastReport;
            mNowMilliseconds += 50;
            decide(new Wake());
            mNowMilliseconds += 10;
            isAdmitted |=
                    decide(new OwnerMessageReceived(grants(report, round * GRANTED_TOKENS)))
                            .contains(new Admit(callId));
        }
        assertThat(isAdmitted).isTrue();
    }

    /** Loses the contact to the owner, and has it again for long. */
    private void lapseAndBeConfirmedForLong() {
        mNowMilliseconds += POLICY.lapseMilliseconds();
        decide(new Wake());
        for (int i = 0; i < 60; i++) {
            confirmWithoutGrants(mLastReport);
            mNowMilliseconds += STEP_MILLISECONDS;
            decide(new Wake());
        }
        confirmWithoutGrants(mLastReport);
        mNowMilliseconds += POLICY.reportMilliseconds();
    }

    /** Responds as an owner that has granted nothing new. */
    private void confirmWithoutGrants(Report report) {
        List<GrantEntry> asked =
                report.entries().stream()
                        .filter(ReportEntry::asksForTotal)
                        .map(e -> new GrantEntry(e.customer(), e.grantedTokens(), false))
                        .toList();
        decide(new OwnerMessageReceived(new Grants(TERM, report.sequence(), asked)));
    }

    private static Grants grants(Report report, long grantedTokens) {
        GrantEntry entry = new GrantEntry(CUSTOMER, grantedTokens, false);
        return new Grants(TERM, report.sequence(), List.of(entry));
    }

    private void confirm(Report report, long grantedTokens) {
        GrantEntry entry = new GrantEntry(CUSTOMER, grantedTokens, false);
        decide(new OwnerMessageReceived(new Grants(TERM, report.sequence(), List.of(entry))));
    }

    /** Returns whether a call is admitted at once. It does not use its tokens. */
    private boolean isAdmitted() {
        long callId = ++mLastCall;
        boolean isAdmitted = decide(new Reserve(callId, CUSTOMER, 1)).contains(new Admit(callId));
        decide(new Release(callId));
        return isAdmitted;
    }

    private List<LimitShareEffect> decide(LimitShareMessage message) {
        List<LimitShareEffect> effects = mGateway.decide(message, mNowMilliseconds);
        for (LimitShareEffect effect : effects) {
            if (effect instanceof SendToOwner send) {
                mLastReport = (Report) send.message();
            }
        }
        return effects;
    }
}
