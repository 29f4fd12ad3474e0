package org.skylarkbend.router.accounting;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.router.Mailbox;
import org.skylarkbend.usage.UsageMessage;

/** Task that holds the token usage of this router until control has acknowledged it. */
public final class AccountingTask extends VerticleBase {
    private static final long TICK_INTERVAL_MILLISECONDS = 200;

    private final AccountingDecider mDecider;
    private final Mailbox<AccountingMessage> mMailbox;
    private final Consumer<UsageMessage> mControl;
    private final Consumer<UsageMessage.GrantsUsedUp> mGrants;
    private final MillisecondClock mClock;
    private final Promise<Void> mEnded = Promise.promise();

    /** Creates a task that passes reports and exhausted grants to the given consumers. */
    public AccountingTask(
            AccountingDecider decider,
            Mailbox<AccountingMessage> mailbox,
            Consumer<UsageMessage> control,
            Consumer<UsageMessage.GrantsUsedUp> grants,
            MillisecondClock clock) {
        mDecider = decider;
        mMailbox = mailbox;
        mControl = control;
        mGrants = grants;
        mClock = clock;
    }

    @Override
    public Future<?> start() {
        mMailbox.bind(context, this::handle);
        vertx.setPeriodic(
                TICK_INTERVAL_MILLISECONDS, id -> handle(new AccountingMessage.TimePassed()));
        return Future.succeededFuture();
    }

    /**
     * Sends the last report. The future completes when it is acknowledged, and fails after the
     * given timeout.
     */
    public Future<Void> shutDown(long milliseconds) {
        mMailbox.accept(new AccountingMessage.ShuttingDown());
        return mEnded.future().timeout(milliseconds, TimeUnit.MILLISECONDS);
    }

    private void handle(AccountingMessage message) {
        Effects.executeEach(mDecider.decide(message, mClock.nowMilliseconds()), this::execute);
    }

    private void execute(AccountingEffect effect) {
        if (effect instanceof AccountingEffect.Send send) {
            mControl.accept(send.report());
        } else if (effect instanceof AccountingEffect.PublishGrants publish) {
            mGrants.accept(publish.grants());
        } else if (effect instanceof AccountingEffect.Ended) {
            mEnded.tryComplete();
        }
    }
}
