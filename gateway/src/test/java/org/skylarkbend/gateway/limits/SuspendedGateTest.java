package org.skylarkbend.gateway.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.SuspensionDetector;
import org.testng.annotations.Test;

/** Tests calls at a gateway whose VM was suspended. */
public class SuspendedGateTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final long TERM = 1;
    private static final long GRANTED_TOKENS = 1_000;
    private static final long PAUSE_MILLISECONDS = 2_000;

    private final Deque<LimitMessage> mToOwner = new ArrayDeque<>();
    private long mSteadyMilliseconds;
    private long mWallMilliseconds;
    private int mAdmittedCalls;

    private final TokenGate.Caller mCaller =
            new TokenGate.Caller() {
                @Override
                public void admitted() {
                    mAdmittedCalls++;
                }

                @Override
                public void refused(long retryAfterMilliseconds) {}
            };

    /** Guards against tokens that are spent after a suspension, when others have used them. */
    @Test
    public void aGatewayThatWasSuspendedForLongSpendsNoTokens() {
        TokenGate gate = gateWithTokens();
        mWallMilliseconds += POLICY.lapseMilliseconds();
        gate.reserve(CUSTOMER.value(), 1, mCaller, mSteadyMilliseconds);
        assertThat(mAdmittedCalls).isZero();
    }

    @Test
    public void aGatewayThatWasSuspendedBrieflySpendsItsTokens() {
        TokenGate gate = gateWithTokens();
        mWallMilliseconds += PAUSE_MILLISECONDS;
        gate.reserve(CUSTOMER.value(), 1, mCaller, mSteadyMilliseconds);
        assertThat(mAdmittedCalls).isEqualTo(1);
    }

    private TokenGate gateWithTokens() {
        mToOwner.clear();
        mAdmittedCalls = 0;
        SuspensionDetector suspensions =
                new SuspensionDetector(() -> mWallMilliseconds, mSteadyMilliseconds);
        TokenGate gate =
                new TokenGate(
                        new LimitShareDecider(POLICY, mSteadyMilliseconds),
                        mToOwner::add,
                        at -> {},
                        suspensions::suspendedMilliseconds);
        gate.updateLimits(
                List.of(new CustomerLimit(CUSTOMER, 10_000, 10_000)), mSteadyMilliseconds);
        gate.receiveFromOwner(new TermBegan(TERM), mSteadyMilliseconds);
        long number = gate.reserve(CUSTOMER.value(), 1, mCaller, mSteadyMilliseconds);
        gate.cancel(number, mSteadyMilliseconds);
        mSteadyMilliseconds += POLICY.reportMilliseconds();
        mWallMilliseconds += POLICY.reportMilliseconds();
        gate.wake(mSteadyMilliseconds);
        Report report = (Report) mToOwner.getLast();
        GrantEntry entry = new GrantEntry(CUSTOMER, GRANTED_TOKENS, false);
        gate.receiveFromOwner(
                new Grants(TERM, report.sequence(), List.of(entry)), mSteadyMilliseconds);
        return gate;
    }
}
