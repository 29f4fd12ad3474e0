package org.skylarkbend.gateway.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitOwnerDecider;
import org.skylarkbend.limits.LimitOwnerEffect;
import org.skylarkbend.limits.LimitOwnerMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.LimitShareDecider;
import org.skylarkbend.limits.RouterIdentity;
import org.testng.annotations.Test;

/** Tests calls of customers with a rate limit at one gateway, together with a limit owner. */
public class TokenGateTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.forGateways();
    private static final RouterIdentity GATEWAY = new RouterIdentity(ObjectName.of("front-1"), 9);
    private static final List<CustomerLimit> LIMITS =
            List.of(new CustomerLimit(CUSTOMER, 60_000, 90_000));
    private static final long STEP_MILLISECONDS = 10;

    private final Deque<LimitMessage> mToOwner = new ArrayDeque<>();
    private long mNowMilliseconds = 1_000;
    private TokenGate mGate;
    private LimitShareDecider mShares;
    private LimitOwnerDecider mOwner;
    private boolean mOwnerLost;
    private long mOwnerlessMilliseconds;

    /** Caller that records the decision on its call. */
    private static final class RecordingCaller implements TokenGate.Caller {
        private Optional<Boolean> mAdmitted = Optional.empty();

        @Override
        public void admitted() {
            mAdmitted = Optional.of(true);
        }

        @Override
        public void refused(long retryAfterMilliseconds) {
            mAdmitted = Optional.of(false);
        }
    }

    @Test
    public void aPromptLargerThanAQuarterOfTheBurstIsAdmitted() {
        startTerm(LimitRegistry.empty());
        advance(2_000);
        assertThat(decisionOn(28_000)).contains(true);
    }

    @Test
    public void tokensOfALostGatewayAreFreedOnceItHasRestarted() {
        LimitRegistry before = LimitRegistry.empty();
        for (int vm = 1; vm <= 6; vm++) {
            before = before.register(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        startTerm(before);
        for (int vm = 2; vm <= 6; vm++) {
            connect(new RouterIdentity(ObjectName.of("front-" + vm), 9));
        }
        advance(1_300);
        assertThat(decisionOn(9_000)).contains(true);
    }

    @Test
    public void afterARestartOfTheWholeSiteCallsAreAdmittedAtOnce() {
        LimitRegistry before = LimitRegistry.empty();
        for (int vm = 1; vm <= 8; vm++) {
            before = before.register(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        startTerm(before);
        for (int vm = 2; vm <= 8; vm++) {
            connect(new RouterIdentity(ObjectName.of("front-" + vm), 9));
        }
        assertThat(decisionOn(9_000)).contains(true);
    }

    @Test
    public void aNewOwnerGrantsAlthoughSeveralGatewaysHaveNotReported() {
        LimitRegistry before = LimitRegistry.empty();
        for (int vm = 2; vm <= 95; vm++) {
            before = before.register(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        startTerm(before);
        for (int vm = 2; vm <= 90; vm++) {
            connect(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        advance(300);
        assertThat(decisionOn(9_000)).contains(true);
        advance(300);
        assertThat(decisionOn(9_000)).contains(true);
    }

    @Test
    public void afterALongTimeWithoutOwnerTheBucketHoldsTheTokensOfThatTime() {
        startTerm(LimitRegistry.empty());
        loseOwner();
        advance(1_000);
        mOwnerlessMilliseconds = 1_000;
        findOwner(2);
        advance(50);
        assertThat(decisionOn(28_000)).contains(true);
        assertThat(decisionOn(28_000)).contains(true);
    }

    @Test
    public void aCallWaitsLongerWhileNoOwnerResponds() {
        startTerm(LimitRegistry.empty());
        advance(100);
        loseOwner();
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 20_000, caller, mNowMilliseconds);
        advance(2 * POLICY.waitMilliseconds());
        assertThat(caller.mAdmitted).as("while no owner responds").isEmpty();
        findOwner(2);
        advance(2 * POLICY.waitMilliseconds());
        assertThat(caller.mAdmitted).as("once a new owner responds").contains(true);
    }

    @Test
    public void aCallIsRefusedIfNoOwnerRespondsForLong() {
        startTerm(LimitRegistry.empty());
        advance(100);
        loseOwner();
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 20_000, caller, mNowMilliseconds);
        advance(POLICY.ownerlessWaitMilliseconds() + 2 * STEP_MILLISECONDS);
        assertThat(caller.mAdmitted).contains(false);
    }

    @Test
    public void aCallWithoutTokensIsRefusedWithinAnEighthOfItsTarget() {
        startTerm(LimitRegistry.empty());
        advance(100);
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 29_000, caller, mNowMilliseconds);
        mGate.reserve(CUSTOMER.value(), 29_000, new RecordingCaller(), mNowMilliseconds);
        mGate.reserve(CUSTOMER.value(), 29_000, new RecordingCaller(), mNowMilliseconds);
        RecordingCaller last = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 29_000, last, mNowMilliseconds);
        advance(POLICY.waitMilliseconds() + STEP_MILLISECONDS);
        assertThat(last.mAdmitted).contains(false);
    }

    /** Guards against a planned stop that cuts the calls which wait for tokens. */
    @Test
    public void aCallThatWaitsForTokensWhenItsGatewayStopsGetsThemAndTheRestGoesBack() {
        startTerm(LimitRegistry.empty());
        assertThat(decisionOn(9_000)).contains(true);
        loseOwner();
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 20_000, caller, mNowMilliseconds);
        mGate.shutDown(mNowMilliseconds);
        advance(2 * POLICY.waitMilliseconds());
        assertThat(caller.mAdmitted).as("while no owner responds").isEmpty();
        findOwner(2);
        advance(2 * POLICY.waitMilliseconds());
        assertThat(caller.mAdmitted).as("once a new owner responds").contains(true);
        advance(2 * POLICY.idleReportMilliseconds());
        assertThat(mShares.heldTokens(CUSTOMER)).as("tokens that no call needs").isZero();
    }

    @Test
    public void aCallThatArrivesAtAGatewayThatStopsGetsTokens() {
        startTerm(LimitRegistry.empty());
        advance(100);
        mGate.shutDown(mNowMilliseconds);
        advance(100);
        assertThat(decisionOn(28_000)).contains(true);
    }

    @Test
    public void aCallThatWaitsAtAGatewayThatStopsIsRefusedIfNoOwnerResponds() {
        startTerm(LimitRegistry.empty());
        advance(100);
        loseOwner();
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), 20_000, caller, mNowMilliseconds);
        mGate.shutDown(mNowMilliseconds);
        advance(POLICY.ownerlessWaitMilliseconds() + 2 * STEP_MILLISECONDS);
        assertThat(caller.mAdmitted).contains(false);
    }

    /**
     * Starts a term of the limit owner with the gateway under test and other gateways that hold no
     * tokens.
     */
    private void startTerm(LimitRegistry registry) {
        mShares = new LimitShareDecider(POLICY, mNowMilliseconds);
        mGate = new TokenGate(mShares, mToOwner::add, at -> {}, nowMilliseconds -> 0);
        mOwnerLost = false;
        mOwnerlessMilliseconds = 0;
        mToOwner.clear();
        mOwner = new LimitOwnerDecider(POLICY, 1, registry, mNowMilliseconds);
        mGate.updateLimits(LIMITS, mNowMilliseconds);
        sendToOwner(new LimitOwnerMessage.LimitsPublished(LIMITS));
        connect(GATEWAY);
    }

    private void loseOwner() {
        mOwnerLost = true;
    }

    /** Replaces the lost owner by that of a later term, which knows the gateway under test. */
    private void findOwner(long term) {
        mOwnerLost = false;
        mToOwner.clear();
        LimitRegistry registry = LimitRegistry.empty().register(GATEWAY);
        mOwner =
                new LimitOwnerDecider(
                        POLICY, term, registry, mOwnerlessMilliseconds, mNowMilliseconds);
        sendToOwner(new LimitOwnerMessage.LimitsPublished(LIMITS));
        connect(GATEWAY);
    }

    private void connect(RouterIdentity gateway) {
        sendToOwner(new LimitOwnerMessage.RouterConnected(gateway));
    }

    private Optional<Boolean> decisionOn(long tokens) {
        RecordingCaller caller = new RecordingCaller();
        mGate.reserve(CUSTOMER.value(), tokens, caller, mNowMilliseconds);
        advance(POLICY.waitMilliseconds() + STEP_MILLISECONDS);
        return caller.mAdmitted;
    }

    private void advance(long milliseconds) {
        long untilMilliseconds = mNowMilliseconds + milliseconds;
        while (mNowMilliseconds < untilMilliseconds) {
            mNowMilliseconds += STEP_MILLISECONDS;
            mGate.wake(mNowMilliseconds);
            while (!mToOwner.isEmpty() && !mOwnerLost) {
                sendToOwner(new LimitOwnerMessage.RouterMessageReceived(GATEWAY, mToOwner.poll()));
            }
            if (!mOwnerLost) {
                sendToOwner(new LimitOwnerMessage.Wake());
            }
        }
    }

    private void sendToOwner(LimitOwnerMessage message) {
        List.copyOf(mOwner.decide(message, mNowMilliseconds)).forEach(this::apply);
    }

    private void apply(LimitOwnerEffect effect) {
        if (effect instanceof LimitOwnerEffect.Register register) {
            sendToOwner(new LimitOwnerMessage.RouterRegistered(register.router()));
        } else if (effect instanceof LimitOwnerEffect.Send send) {
            deliver(send.router(), send.message());
        } else if (effect instanceof LimitOwnerEffect.SendConfirmed send) {
            deliver(send.router(), send.message());
        }
    }

    /** Delivers a message of the limit owner. The other gateways report that they hold nothing. */
    private void deliver(RouterIdentity router, LimitMessage message) {
        if (router.equals(GATEWAY)) {
            mGate.receiveFromOwner(message, mNowMilliseconds);
        } else if (message instanceof LimitMessage.TermBegan began) {
            LimitMessage nothing = new LimitMessage.Report(began.term(), 1, true, List.of());
            sendToOwner(new LimitOwnerMessage.RouterMessageReceived(router, nothing));
        }
    }
}
