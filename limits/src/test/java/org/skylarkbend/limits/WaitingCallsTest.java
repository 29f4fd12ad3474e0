package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.Refuse;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareEffect.WakeAt;
import org.skylarkbend.limits.LimitShareMessage.LimitsPublished;
import org.skylarkbend.limits.LimitShareMessage.OwnerMessageReceived;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.skylarkbend.limits.LimitShareMessage.Wake;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which calls within the limit of a customer wait for tokens, and how long. */
public class WaitingCallsTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final long TOKENS = 10_000;
    private static final long TERM = 1;
    private static final int CALLS_AT_ONCE = 1_000;

    /** Longer than any call waits. */
    private static final long HELD_UP_MILLISECONDS = 2_000;

    private LimitShareDecider mGateway;
    private long mNowMilliseconds;
    private long mWakeMilliseconds;
    private long mCalls;
    private Report mLastReport;

    @BeforeMethod
    public void joinOwner() {
        mNowMilliseconds = 0;
        mCalls = 0;
        mGateway = new LimitShareDecider(POLICY, 0);
        decide(new LimitsPublished(List.of(new CustomerLimit(CUSTOMER, TOKENS, TOKENS))));
        decide(new OwnerMessageReceived(new TermBegan(TERM)));
        grant(0);
    }

    /** Guards against refusals below the limit while the tokens are on their way. */
    @Test
    public void manyCallsThatBeginAtOnceWaitForTheirTokens() {
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            assertThat(reserve()).isEmpty();
        }
        mNowMilliseconds = mWakeMilliseconds;
        decide(new Wake());
        assertThat(grant(CALLS_AT_ONCE)).hasSize(CALLS_AT_ONCE).allMatch(Admit.class::isInstance);
    }

    /** Guards against a refusal by a gateway that has not read the answer of the owner yet. */
    @Test
    public void aGatewayThatWasHeldUpRefusesNoCallBeforeItHasReadWhatTheOwnerSent() {
        reserve();
        mNowMilliseconds = mWakeMilliseconds;
        decide(new Wake());
        grant(0);
        mNowMilliseconds = mWakeMilliseconds + HELD_UP_MILLISECONDS;
        assertThat(decisions(new Wake())).isEmpty();
        mNowMilliseconds++;
        assertThat(grant(1)).hasSize(1).allMatch(Admit.class::isInstance);
    }

    /** Guards against calls that wait for ever at a gateway that is held up now and then. */
    @Test
    public void aCallThatWaitedInVainAfterThatIsRefused() {
        reserve();
        mNowMilliseconds = mWakeMilliseconds;
        decide(new Wake());
        grant(0);
        mNowMilliseconds = mWakeMilliseconds + HELD_UP_MILLISECONDS;
        List<LimitShareEffect> decisions = new ArrayList<>(decisions(new Wake()));
        long untilMilliseconds = mNowMilliseconds + 2 * POLICY.waitMilliseconds();
        while (decisions.isEmpty() && mNowMilliseconds < untilMilliseconds) {
            mNowMilliseconds = mWakeMilliseconds;
            decisions.addAll(decisions(new Wake()));
        }
        assertThat(decisions).hasSize(1).allMatch(Refuse.class::isInstance);
    }

    private List<LimitShareEffect> reserve() {
        return decisions(new Reserve(mCalls++, CUSTOMER, 1));
    }

    private List<LimitShareEffect> grant(long tokens) {
        return decisions(
                new OwnerMessageReceived(
                        new Grants(
                                TERM,
                                mLastReport == null ? 0 : mLastReport.sequence(),
                                List.of(new GrantEntry(CUSTOMER, tokens, false)))));
    }

    private List<LimitShareEffect> decisions(LimitShareMessage message) {
        return decide(message).stream()
                .filter(effect -> effect instanceof Admit || effect instanceof Refuse)
                .toList();
    }

    private List<LimitShareEffect> decide(LimitShareMessage message) {
        List<LimitShareEffect> effects = mGateway.decide(message, mNowMilliseconds);
        for (LimitShareEffect effect : effects) {
            if (effect instanceof SendToOwner send && send.message() instanceof Report report) {
                mLastReport = report;
            } else if (effect instanceof WakeAt wake) {
                mWakeMilliseconds = wake.atMilliseconds();
            }
        }
        return effects;
    }
}
