package org.skylarkbend.router;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.limits.CustomerLimit;
import org.skylarkbend.limits.LimitMessage;
import org.skylarkbend.limits.LimitOwnerDecider;
import org.skylarkbend.limits.LimitOwnerEffect;
import org.skylarkbend.limits.LimitOwnerMessage;
import org.skylarkbend.limits.LimitPolicy;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.RouterIdentity;

/** A limit owner for one router whose replicated log commits immediately. */
final class FakeLimitOwner {
    private final Vertx mVertx;
    private final MillisecondClock mClock = MillisecondClock.monotonic();
    private final Consumer<LimitMessage> mRouter;
    private final Consumer<Runnable> mSynchronizer;
    private final RouterIdentity mIdentity;
    private final LimitOwnerDecider mDecider;

    FakeLimitOwner(
            Vertx vertx,
            RouterIdentity identity,
            long term,
            Consumer<LimitMessage> router,
            Consumer<Runnable> runSynchronized) {
        mSynchronizer = runSynchronized;
        mVertx = vertx;
        mIdentity = identity;
        mRouter = router;
        mDecider =
                new LimitOwnerDecider(
                        LimitPolicy.standard(),
                        term,
                        LimitRegistry.empty(),
                        mClock.nowMilliseconds());
    }

    void begin(List<CustomerLimit> limits) {
        handle(new LimitOwnerMessage.LimitsPublished(limits));
        handle(new LimitOwnerMessage.RouterConnected(mIdentity));
    }

    void handleRouterMessage(LimitMessage message) {
        handle(new LimitOwnerMessage.RouterMessageReceived(mIdentity, message));
    }

    private void handle(LimitOwnerMessage message) {
        List.copyOf(mDecider.decide(message, mClock.nowMilliseconds())).forEach(this::execute);
    }

    private void execute(LimitOwnerEffect effect) {
        if (effect instanceof LimitOwnerEffect.Send send) {
            mRouter.accept(send.message());
        } else if (effect instanceof LimitOwnerEffect.SendConfirmed send) {
            mRouter.accept(send.message());
        } else if (effect instanceof LimitOwnerEffect.Register register) {
            handle(new LimitOwnerMessage.RouterRegistered(register.router()));
        } else if (effect instanceof LimitOwnerEffect.WakeAt wake) {
            long delayMilliseconds = Math.max(1, wake.atMilliseconds() - mClock.nowMilliseconds());
            mVertx.setTimer(
                    delayMilliseconds,
                    id -> mSynchronizer.accept(() -> handle(new LimitOwnerMessage.Wake())));
        }
    }
}
