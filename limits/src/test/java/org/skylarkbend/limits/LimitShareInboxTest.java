package org.skylarkbend.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitShareEffect.RefuseTooLarge;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareEffect.WakeAt;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an effect that fails does to the others. */
public class LimitShareInboxTest {
    private static final ObjectName CUSTOMER = ObjectName.of("unknown");

    private final List<LimitShareEffect> mExecuted = new ArrayList<>();
    private LimitShareInbox mInbox;

    /** Creates an inbox whose refusals fail. During that of call 1 another call arrives. */
    @BeforeMethod
    public void createInbox() {
        mExecuted.clear();
        LimitShareDecider decider = new LimitShareDecider(LimitPolicy.forGateways(), 0);
        mInbox = new LimitShareInbox(decider, this::execute);
    }

    /** Guards against a timer that is not set because a call could not be answered. */
    @Test
    public void theEffectsAfterOneThatFailsAreExecuted() {
        assertThatThrownBy(() -> mInbox.handle(new Reserve(2, CUSTOMER, 1), 0))
                .hasMessage("call 2");
        assertThat(mExecuted).hasAtLeastOneElementOfType(SendToOwner.class);
        assertThat(mExecuted.get(mExecuted.size() - 1)).isInstanceOf(WakeAt.class);
    }

    /** Guards against a call that stays undecided because another could not be answered. */
    @Test
    public void messagesOfEffectsThatFailAreDecidedOn() {
        assertThatThrownBy(() -> mInbox.handle(new Reserve(1, CUSTOMER, 1), 0))
                .hasMessage("call 1")
                .satisfies(error -> assertThat(error.getSuppressed()).hasSize(1));
        assertThat(mExecuted).filteredOn(RefuseTooLarge.class::isInstance).hasSize(2);
    }

    private void execute(LimitShareEffect effect, long nowMilliseconds) {
        mExecuted.add(effect);
        if (effect instanceof RefuseTooLarge refuse) {
            if (refuse.callId() == 1) {
                mInbox.handle(new Reserve(2, CUSTOMER, 1), nowMilliseconds);
            }
            throw new IllegalStateException("call " + refuse.callId());
        }
    }
}
