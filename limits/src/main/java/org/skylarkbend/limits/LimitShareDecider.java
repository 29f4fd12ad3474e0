package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitShareEffect.Admit;
import org.skylarkbend.limits.LimitShareEffect.Refuse;
import org.skylarkbend.limits.LimitShareEffect.RefuseTooLarge;
import org.skylarkbend.limits.LimitShareEffect.SendToOwner;
import org.skylarkbend.limits.LimitShareEffect.WakeAt;
import org.skylarkbend.limits.LimitShareMessage.LimitsPublished;
import org.skylarkbend.limits.LimitShareMessage.OwnerMessageReceived;
import org.skylarkbend.limits.LimitShareMessage.Release;
import org.skylarkbend.limits.LimitShareMessage.Reserve;
import org.skylarkbend.limits.LimitShareMessage.ShutDown;
import org.skylarkbend.limits.LimitShareMessage.Spend;
import org.skylarkbend.limits.LimitShareMessage.Suspended;

/**
 * Decides in a router which calls receive tokens.
 *
 * <p>A router spends only tokens that it holds. Under a policy by which tokens lapse, it gives up
 * its free tokens before it decides on anything else, once the newest confirmed report was sent too
 * long ago. A process that was frozen or cut off therefore cannot spend tokens that the owner has
 * stopped counting, as long as its time includes suspensions of the VM (see {@link
 * LimitShareMessage.Suspended}).
 */
public final class LimitShareDecider {
    static final long DEMAND_RETENTION_MILLISECONDS = 10_000;

    /** Report interval while calls wait for tokens, as a multiple of the minimum interval. */
    private static final long WAITING_REPORT_INTERVAL_FACTOR = 5;

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** A call that holds reserved tokens. */
    private record Reservation(ShareLedger ledger, long tokens) {}

    private final LimitPolicy mPolicy;
    private final OwnerContact mContact;
    private final Map<ObjectName, ShareLedger> mLedgers = new LinkedHashMap<>();
    private final Set<ShareLedger> mQueued = new LinkedHashSet<>();
    private final Map<Long, Reservation> mReservations = new HashMap<>();
    private List<LimitShareEffect> mEffects = new ArrayList<>();
    private Map<ObjectName, CustomerLimit> mLimits = Map.of();
    private long mTerm;
    private boolean mJoined;
    private long mJoinedMilliseconds;
    private long mSequence;
    private long mConfirmedSequence;
    private long mLastReportMilliseconds;
    private boolean mReportSoon = true;
    private boolean mShuttingDown;
    private long mSuspendedMilliseconds;
    private long mWakeMilliseconds = Long.MAX_VALUE;

    /** Time until which a router that was held up reads what has arrived, and refuses no call. */
    private long mReadUntilMilliseconds = Long.MIN_VALUE;

    /** Creates a router that holds no tokens. */
    public LimitShareDecider(LimitPolicy policy, long nowMilliseconds) {
        mPolicy = policy;
        mContact = new OwnerContact(policy.lapseMilliseconds(), nowMilliseconds);
        mLastReportMilliseconds = nowMilliseconds - policy.reportMilliseconds();
    }

    /** Processes a message and returns the effects to execute. */
    public List<LimitShareEffect> decide(LimitShareMessage message, long nowMilliseconds) {
        mEffects = new ArrayList<>();
        if (message instanceof Suspended suspended) {
            mSuspendedMilliseconds += suspended.milliseconds();
        }
        checkContact(nowMilliseconds);
        checkHeldUp(nowMilliseconds);
        if (message instanceof Reserve reserve) {
            reserve(reserve, nowMilliseconds);
        } else if (message instanceof Spend spend) {
            spend(spend);
        } else if (message instanceof Release release) {
            release(release.callId());
        } else if (message instanceof OwnerMessageReceived received) {
            handleOwnerMessage(received.message(), nowMilliseconds);
        } else if (message instanceof LimitsPublished published) {
            publish(published.limits());
        } else if (message instanceof ShutDown) {
            mShuttingDown = true;
            mReportSoon = true;
        }
        refuseExpired(nowMilliseconds);
        reportWhenDue(nowMilliseconds);
        mWakeMilliseconds = nextWakeMilliseconds();
        mEffects.add(new WakeAt(mWakeMilliseconds));
        return mEffects;
    }

    /**
     * Refuses no call for the time of a report if the router decides later than it wanted to: the
     * tokens may have arrived meanwhile and wait to be read.
     */
    private void checkHeldUp(long nowMilliseconds) {
        if (nowMilliseconds - mWakeMilliseconds > mPolicy.reportMilliseconds()) {
            mReadUntilMilliseconds = nowMilliseconds + mPolicy.reportMilliseconds();
        }
    }

    /** Returns the tokens of a customer that are available for new calls. */
    public long freeTokens(ObjectName customer) {
        ShareLedger ledger = mLedgers.get(customer);
        return ledger == null ? 0 : ledger.freeTokens();
    }

    /** Returns all tokens of a customer that this router holds, reserved or free. */
    public long heldTokens(ObjectName customer) {
        ShareLedger ledger = mLedgers.get(customer);
        return ledger == null ? 0 : ledger.heldTokens();
    }

    /** Gives up all free tokens if the contact to the owner is lost. */
    private void checkContact(long nowMilliseconds) {
        if (mContact.isLost(nowMilliseconds + mSuspendedMilliseconds)) {
            long freeTokens =
                    mLedgers.values().stream().mapToLong(l -> Math.max(0, l.freeTokens())).sum();
            mLedgers.values().stream()
                    .filter(ShareLedger::lapse)
                    .forEach(ledger -> ledger.markDirty(mSequence + 1));
            if (freeTokens > 0) {
                mEffects.add(new LimitShareEffect.Lapsed(freeTokens));
            }
        }
    }

    private void reserve(Reserve reserve, long nowMilliseconds) {
        CustomerLimit limit = mLimits.get(reserve.customer());
        if (limit == null || reserve.tokens() > mPolicy.maxHeldTokens(limit)) {
            long maxTokens = limit == null ? 0 : mPolicy.maxHeldTokens(limit);
            mEffects.add(new RefuseTooLarge(reserve.callId(), maxTokens));
            return;
        }
        ShareLedger ledger =
                mLedgers.computeIfAbsent(reserve.customer(), name -> new ShareLedger(limit));
        ledger.countDemand(reserve.tokens());
        if (ledger.waiting().size() >= mPolicy.maxWaitingCalls()) {
            mEffects.add(refusal(ledger, reserve.callId(), reserve.tokens()));
            return;
        }
        ledger.waiting()
                .add(
                        new ShareLedger.Waiting(
                                reserve.callId(), reserve.tokens(), nowMilliseconds, mSequence));
        mQueued.add(ledger);
        admitWaiting(ledger);
        mReportSoon |= !ledger.waiting().isEmpty();
    }

    private void admitWaiting(ShareLedger ledger) {
        while (!ledger.waiting().isEmpty()
                && ledger.waiting().peek().tokens() <= ledger.freeTokens()) {
            ShareLedger.Waiting call = ledger.waiting().remove();
            ledger.reserve(call.tokens());
            mReservations.put(call.callId(), new Reservation(ledger, call.tokens()));
            mEffects.add(new Admit(call.callId()));
        }
        if (ledger.waiting().isEmpty()) {
            mQueued.remove(ledger);
        }
    }

    private void spend(Spend spend) {
        Reservation reservation = mReservations.get(spend.callId());
        if (reservation == null) {
            return;
        }
        long usedTokens = Math.max(0, Math.min(spend.tokens(), reservation.tokens()));
        ShareLedger ledger = reservation.ledger();
        ledger.use(usedTokens);
        ledger.markDirty(mSequence + 1);
        mReportSoon |= ledger.hasLargeUnreportedUse(mPolicy);
        mReservations.put(
                spend.callId(), new Reservation(ledger, reservation.tokens() - usedTokens));
    }

    private void release(long callId) {
        Reservation reservation = mReservations.remove(callId);
        if (reservation != null) {
            reservation.ledger().unreserve(reservation.tokens());
            admitWaiting(reservation.ledger());
        } else {
            mQueued.forEach(ledger -> ledger.waiting().removeIf(call -> call.callId() == callId));
            mQueued.removeIf(ledger -> ledger.waiting().isEmpty());
        }
    }

    private void handleOwnerMessage(LimitMessage message, long nowMilliseconds) {
        if (message instanceof TermBegan began && began.term() > mTerm) {
            mTerm = began.term();
            mJoined = false;
            mLedgers.values().forEach(ShareLedger::joinTerm);
            mReportSoon = true;
        } else if (message instanceof Grants grants && grants.term() == mTerm) {
            if (!mJoined) {
                mJoined = true;
                mJoinedMilliseconds = nowMilliseconds;
            }
            mConfirmedSequence = Math.max(mConfirmedSequence, grants.reportSequence());
            boolean isRecent =
                    mContact.confirmed(
                            grants.reportSequence(), nowMilliseconds + mSuspendedMilliseconds);
            grants.entries().forEach(entry -> granted(entry, isRecent));
        }
    }

    private void granted(GrantEntry entry, boolean isRecent) {
        ShareLedger ledger = mLedgers.get(entry.customer());
        if (ledger == null) {
            return;
        }
        if (ledger.granted(entry.grantedTokens(), isRecent)) {
            ledger.markDirty(mSequence + 1);
            mReportSoon = true;
        }
        admitWaiting(ledger);
        boolean returnsTokens =
                entry.recalled() && ledger.waiting().isEmpty() && ledger.freeTokens() > 0;
        if (returnsTokens) {
            returnTokens(ledger, ledger.freeTokens());
        }
        mReportSoon |= returnsTokens || !ledger.waiting().isEmpty();
    }

    private void returnTokens(ShareLedger ledger, long tokens) {
        ledger.returnTokens(tokens);
        ledger.markDirty(mSequence + 1);
    }

    private void publish(List<CustomerLimit> limits) {
        Map<ObjectName, CustomerLimit> limitsByCustomer = new HashMap<>();
        limits.forEach(limit -> limitsByCustomer.put(limit.customer(), limit));
        mLimits = limitsByCustomer;
        mLedgers.forEach(
                (customer, ledger) -> {
                    if (limitsByCustomer.containsKey(customer)) {
                        ledger.changeLimit(limitsByCustomer.get(customer));
                    }
                });
    }

    private void refuseExpired(long nowMilliseconds) {
        for (ShareLedger ledger : List.copyOf(mQueued)) {
            while (!ledger.waiting().isEmpty()
                    && deadlineMilliseconds(ledger.waiting().peek()) <= nowMilliseconds) {
                ShareLedger.Waiting call = ledger.waiting().remove();
                mEffects.add(refusal(ledger, call.callId(), call.tokens()));
                ledger.markDirty(mSequence + 1);
                admitWaiting(ledger);
            }
        }
    }

    /**
     * Returns the time at which a waiting call is refused. It waits longer while the owner responds
     * to no report, because it may just be replaced; a new owner gets the usual time from its first
     * response on.
     */
    private long deadlineMilliseconds(ShareLedger.Waiting call) {
        long latestMilliseconds =
                Math.max(
                        mReadUntilMilliseconds,
                        call.sinceMilliseconds() + mPolicy.ownerlessWaitMilliseconds());
        if (!mJoined || mConfirmedSequence <= call.sinceSequence()) {
            return latestMilliseconds;
        }
        long sinceMilliseconds = Math.max(call.sinceMilliseconds(), mJoinedMilliseconds);
        return Math.min(
                latestMilliseconds,
                Math.max(mReadUntilMilliseconds, sinceMilliseconds + mPolicy.waitMilliseconds()));
    }

    private static Refuse refusal(ShareLedger ledger, long callId, long tokens) {
        long missingTokens = Math.max(1, tokens - ledger.freeTokens());
        long rate = ledger.limit().tokensPerSecond();
        return new Refuse(callId, 1 + missingTokens * MILLISECONDS_PER_SECOND / rate);
    }

    private void reportWhenDue(long nowMilliseconds) {
        if (nowMilliseconds < nextReportMilliseconds()) {
            return;
        }
        long elapsedMilliseconds = nowMilliseconds - mLastReportMilliseconds;
        mLastReportMilliseconds = nowMilliseconds;
        mReportSoon = false;
        List<ReportEntry> entries = new ArrayList<>();
        for (ShareLedger ledger : mLedgers.values()) {
            ledger.updateAverageDemand(elapsedMilliseconds);
            returnUnneededTokens(ledger);
            if (mJoined ? needsReport(ledger) : !ledger.isEmpty()) {
                entries.add(ledger.entry(mPolicy));
            }
        }
        mSequence++;
        mContact.sent(mSequence, nowMilliseconds + mSuspendedMilliseconds);
        mEffects.add(new SendToOwner(new Report(mTerm, mSequence, !mJoined, entries)));
    }

    private boolean needsReport(ShareLedger ledger) {
        return ledger.isDirty(mConfirmedSequence)
                || ledger.prefetchTokens(mPolicy) > ledger.freeTokens();
    }

    private void returnUnneededTokens(ShareLedger ledger) {
        long retainedTokens = mShuttingDown ? 0 : 2 * ledger.prefetchTokens(mPolicy);
        long unneededTokens = ledger.freeTokens() - retainedTokens;
        if (ledger.waiting().isEmpty() && unneededTokens > 0) {
            returnTokens(ledger, unneededTokens);
        }
    }

    private long nextReportMilliseconds() {
        if (mReportSoon) {
            return mLastReportMilliseconds + mPolicy.reportMilliseconds();
        }
        return mLastReportMilliseconds
                + (mQueued.isEmpty()
                        ? mPolicy.idleReportMilliseconds()
                        : WAITING_REPORT_INTERVAL_FACTOR * mPolicy.reportMilliseconds());
    }

    private long nextWakeMilliseconds() {
        return mQueued.stream()
                .mapToLong(ledger -> deadlineMilliseconds(ledger.waiting().peek()))
                .reduce(nextReportMilliseconds(), Math::min);
    }
}
