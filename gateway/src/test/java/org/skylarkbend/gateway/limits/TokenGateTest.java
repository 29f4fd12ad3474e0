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

/** Calls of limited customers at one gateway, with an owner of the limits beside it. */
public class TokenGateTest {
    private static final ObjectName CUSTOMER = ObjectName.of("one");
    private static final LimitPolicy POLICY = LimitPolicy.countedWhenSent();
    private static final RouterIdentity GATEWAY = new RouterIdentity(ObjectName.of("front-1"), 9);
    private static final List<CustomerLimit> LIMITS =
            List.of(new CustomerLimit(CUSTOMER, 60_000, 90_000));
    private static final long STEP_MILLISECONDS = 10;

    private final Deque<LimitMessage> mToOwner = new ArrayDeque<>();
    private long mNowMilliseconds = 1_000;
    private TokenGate mGate;
    private LimitOwnerDecider mOwner;

    /** A caller that notes what became of its call. */
    private static final class NotingCaller implements TokenGate.Caller {
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
        begin(LimitRegistry.empty());
        pass(2_000);
        assertThat(outcomeOf(28_000)).contains(true);
    }

    @Test
    public void whatADeadGatewayHeldIsFreeOnceItsNextRunIsThere() {
        LimitRegistry before = LimitRegistry.empty();
        for (int vm = 1; vm <= 6; vm++) {
            before = before.register(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        begin(before);
        for (int vm = 2; vm <= 6; vm++) {
            connect(new RouterIdentity(ObjectName.of("front-" + vm), 9));
        }
        pass(1_300);
        assertThat(outcomeOf(9_000)).contains(true);
    }

    @Test
    public void afterARestartOfTheWholeSiteCallsAreAdmittedAtOnce() {
        LimitRegistry before = LimitRegistry.empty();
        for (int vm = 1; vm <= 8; vm++) {
            before = before.register(new RouterIdentity(ObjectName.of("front-" + vm), 1));
        }
        begin(before);
        for (int vm = 2; vm <= 8; vm++) {
            connect(new RouterIdentity(ObjectName.of("front-" + vm), 9));
        }
        assertThat(outcomeOf(9_000)).contains(true);
    }

    @Test
    public void aCallWithoutTokensIsRefusedWithinAnEighthOfItsTarget() {
        begin(LimitRegistry.empty());
        pass(100);
        NotingCaller caller = new NotingCaller();
        mGate.ask(CUSTOMER.value(), 29_000, caller, mNowMilliseconds);
        mGate.ask(CUSTOMER.value(), 29_000, new NotingCaller(), mNowMilliseconds);
        mGate.ask(CUSTOMER.value(), 29_000, new NotingCaller(), mNowMilliseconds);
        NotingCaller last = new NotingCaller();
        mGate.ask(CUSTOMER.value(), 29_000, last, mNowMilliseconds);
        pass(POLICY.waitMilliseconds() + STEP_MILLISECONDS);
        assertThat(last.mAdmitted).contains(false);
    }

    /** Begins a term of an owner, with this gateway and others that report nothing to hold. */
    private void begin(LimitRegistry registry) {
        mGate =
                new TokenGate(
                        new LimitShareDecider(POLICY, mNowMilliseconds), mToOwner::add, at -> {});
        mOwner = new LimitOwnerDecider(POLICY, 1, registry, mNowMilliseconds);
        mGate.publish(LIMITS, mNowMilliseconds);
        tellOwner(new LimitOwnerMessage.LimitsPublished(LIMITS));
        connect(GATEWAY);
    }

    private void connect(RouterIdentity gateway) {
        tellOwner(new LimitOwnerMessage.RouterConnected(gateway));
    }

    private Optional<Boolean> outcomeOf(long tokens) {
        NotingCaller caller = new NotingCaller();
        mGate.ask(CUSTOMER.value(), tokens, caller, mNowMilliseconds);
        pass(POLICY.waitMilliseconds() + STEP_MILLISECONDS);
        return caller.mAdmitted;
    }

    private void pass(long milliseconds) {
        long untilMilliseconds = mNowMilliseconds + milliseconds;
        while (mNowMilliseconds < untilMilliseconds) {
            mNowMilliseconds += STEP_MILLISECONDS;
            mGate.wake(mNowMilliseconds);
            while (!mToOwner.isEmpty()) {
                tellOwner(new LimitOwnerMessage.RouterSaid(GATEWAY, mToOwner.poll()));
            }
            tellOwner(new LimitOwnerMessage.Wake());
        }
    }

    private void tellOwner(LimitOwnerMessage message) {
        List.copyOf(mOwner.decide(message, mNowMilliseconds)).forEach(this::carryOut);
    }

    private void carryOut(LimitOwnerEffect effect) {
        if (effect instanceof LimitOwnerEffect.Register register) {
            tellOwner(new LimitOwnerMessage.RouterRegistered(register.router()));
        } else if (effect instanceof LimitOwnerEffect.Send send) {
            hand(send.router(), send.message());
        } else if (effect instanceof LimitOwnerEffect.SendConfirmed send) {
            hand(send.router(), send.message());
        }
    }

    /** The other gateways hold nothing and say so when they are asked. */
    private void hand(RouterIdentity router, LimitMessage message) {
        if (router.equals(GATEWAY)) {
            mGate.ownerSaid(message, mNowMilliseconds);
        } else if (message instanceof LimitMessage.TermBegan began) {
            LimitMessage nothing = new LimitMessage.Report(began.term(), 1, true, List.of());
            tellOwner(new LimitOwnerMessage.RouterSaid(router, nothing));
        }
    }
}
