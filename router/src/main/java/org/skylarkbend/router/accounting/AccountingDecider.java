package org.skylarkbend.router.accounting;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.usage.UsageLine;
import org.skylarkbend.usage.UsageMessage.Acknowledged;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;
import org.skylarkbend.usage.UsageMessage.Report;
import org.skylarkbend.usage.UsageSubject;
import org.skylarkbend.usage.UsageTokens;

/**
 * Decides when token usage is reported, so that control counts it exactly once.
 *
 * <p>Only one report is in flight at a time. It is resent unchanged until it is acknowledged; usage
 * settled in the meantime goes into the next report. Not thread-safe; confined to one task.
 */
public final class AccountingDecider {
    private static final long RESEND_INTERVAL_MILLISECONDS = 1_000;

    /** Usage is summed per subject and day. */
    private record LineKey(UsageSubject subject, long epochDay) {}

    private final ObjectName mRouter;
    private final long mIncarnation;
    private final Map<LineKey, UsageTokens> mUnreported = new LinkedHashMap<>();
    private Optional<Report> mSent = Optional.empty();
    private long mSentMilliseconds;
    private long mSequence;
    private boolean mShuttingDown;
    private boolean mEnded;

    /** Creates a decider for one incarnation of a router. */
    public AccountingDecider(ObjectName router, long incarnation) {
        mRouter = router;
        mIncarnation = incarnation;
    }

    /** Processes one message and returns the resulting effects. */
    public List<AccountingEffect> decide(AccountingMessage message, long nowMilliseconds) {
        List<AccountingEffect> effects = new ArrayList<>();
        if (message instanceof AccountingMessage.Settled settled) {
            settle(settled.line());
        } else if (message instanceof AccountingMessage.ShuttingDown) {
            mShuttingDown = true;
        } else if (message instanceof AccountingMessage.ControlMessageReceived received) {
            if (received.message() instanceof Acknowledged acknowledged) {
                acknowledge(acknowledged, effects);
            } else if (received.message() instanceof GrantsUsedUp grants) {
                effects.add(new AccountingEffect.PublishGrants(grants));
            }
        }
        report(nowMilliseconds, effects);
        return effects;
    }

    private void settle(UsageLine line) {
        mUnreported.merge(
                new LineKey(line.subject(), line.epochDay()), line.tokens(), UsageTokens::plus);
    }

    private void acknowledge(Acknowledged acknowledged, List<AccountingEffect> effects) {
        boolean counted =
                mSent.isPresent()
                        && acknowledged.incarnation() == mIncarnation
                        && acknowledged.sequence() >= mSequence;
        if (!counted) {
            return;
        }
        mEnded |= mSent.get().isLast();
        mSent = Optional.empty();
        if (mEnded) {
            effects.add(new AccountingEffect.Ended());
        }
    }

    private void report(long nowMilliseconds, List<AccountingEffect> effects) {
        boolean due = nowMilliseconds - mSentMilliseconds >= RESEND_INTERVAL_MILLISECONDS;
        if (mSent.isPresent() && due) {
            send(nowMilliseconds, effects);
        } else if (mSent.isEmpty() && !mEnded && (mShuttingDown || due && !mUnreported.isEmpty())) {
            mSequence++;
            mSent =
                    Optional.of(
                            new Report(mRouter, mIncarnation, mSequence, mShuttingDown, lines()));
            mUnreported.clear();
            send(nowMilliseconds, effects);
        }
    }

    private void send(long nowMilliseconds, List<AccountingEffect> effects) {
        mSentMilliseconds = nowMilliseconds;
        effects.add(new AccountingEffect.Send(mSent.orElseThrow()));
    }

    private List<UsageLine> lines() {
        return mUnreported.entrySet().stream()
                .map(e -> new UsageLine(e.getKey().subject(), e.getKey().epochDay(), e.getValue()))
                .toList();
    }
}
