package org.skylarkbend.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.CustomerBucket.TokenRequest;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitOwnerEffect.Register;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerEffect.Unregister;
import org.skylarkbend.limits.LimitOwnerEffect.WakeAt;
import org.skylarkbend.limits.LimitOwnerMessage.LimitsPublished;
import org.skylarkbend.limits.LimitOwnerMessage.RouterConnected;
import org.skylarkbend.limits.LimitOwnerMessage.RouterMessageReceived;
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitOwnerMessage.VmRemoved;

/**
 * Makes the decisions of the limit owner during one term of leadership. Create an instance when a
 * term begins, and discard it when the term ends.
 *
 * <p>No window lets through more than the burst plus the rate times its length. To see why, let the
 * <em>potential</em> of a customer be the sum of its bucket, all tokens held by routers, and all
 * grants in flight.
 *
 * <ul>
 *   <li>The potential never exceeds the burst: a bucket is filled only up to the burst less all
 *       holdings. A router that has not reported in this term counts with the maximum that one
 *       router may hold, and all of them with the maximum that is granted in advance of calls; a
 *       router that died counts until endpoints have stopped its work. Under a policy by which
 *       tokens lapse, a router that stays silent counts until it has given up its tokens, and the
 *       tokens that it gives up do not return to the bucket.
 *   <li>It grows at the rate and no faster: a new owner starts with an empty bucket and fills it
 *       from its election on. A replaced owner grants nothing more, because a grant is sent only
 *       after a quorum round begun after the decision has confirmed the term.
 *   <li>It falls with each used token, and tokens are used only out of it.
 * </ul>
 *
 * <p>The use within a window is therefore at most the potential at its beginning plus what is
 * filled in during it. Clocks matter only through the speed of the owner's clock and for lapses.
 */
public final class LimitOwnerDecider {
    private static final long MIN_RECALL_INTERVAL_MILLISECONDS = 100;

    /** Time between two wake-ups while routers wait for grants. */
    private static final long PENDING_WAKE_MILLISECONDS = 20;

    /** Time between two wake-ups while no router waits for a grant. */
    private static final long IDLE_WAKE_MILLISECONDS = 1_000;

    private final LimitPolicy mPolicy;
    private final long mTerm;
    private final long mOwnerlessMilliseconds;
    private final Map<RouterIdentity, RouterHoldings> mRouters = new LinkedHashMap<>();
    private final Map<ObjectName, CustomerBucket> mBuckets = new HashMap<>();
    private final Set<CustomerBucket> mPendingBuckets = new LinkedHashSet<>();
    private final Map<RouterIdentity, List<GrantEntry>> mOutbox = new LinkedHashMap<>();
    private final Map<RouterIdentity, Long> mRecalledAtMilliseconds = new HashMap<>();
    private List<LimitOwnerEffect> mEffects = new ArrayList<>();
    private Map<ObjectName, CustomerLimit> mLimits = Map.of();

    /**
     * Creates the owner of a term.
     *
     * @param policy the policy shared with the routers
     * @param term the term of leadership, which increases with each election
     * @param registry the incarnations registered at the beginning of the term, after every entry
     *     of earlier terms has been applied
     * @param nowMilliseconds the time after the election was won
     */
    public LimitOwnerDecider(
            LimitPolicy policy, long term, LimitRegistry registry, long nowMilliseconds) {
        this(policy, term, registry, 0, nowMilliseconds);
    }

    /**
     * Creates the owner of a term that follows a time without owner.
     *
     * @param policy the policy shared with the routers
     * @param term the term of leadership
     * @param registry the incarnations registered at the beginning of the term
     * @param ownerlessMilliseconds the time before the election during which there can have been no
     *     other owner
     * @param nowMilliseconds the time after the election was won
     */
    public LimitOwnerDecider(
            LimitPolicy policy,
            long term,
            LimitRegistry registry,
            long ownerlessMilliseconds,
            long nowMilliseconds) {
        mPolicy = policy;
        mTerm = term;
        mOwnerlessMilliseconds = ownerlessMilliseconds;
        registry.routers().forEach(router -> addRouter(router, nowMilliseconds));
        registry.routers().forEach(router -> expireOlderIncarnations(router, nowMilliseconds));
    }

    /** Processes a message and returns the effects to execute. */
    public List<LimitOwnerEffect> decide(LimitOwnerMessage message, long nowMilliseconds) {
        mEffects = new ArrayList<>();
        removeExpired(nowMilliseconds);
        reclaimSilent(nowMilliseconds);
        if (message instanceof RouterConnected connected) {
            registerOrAnnounceTerm(connected.router());
        } else if (message instanceof RouterRegistered registered) {
            addRouter(registered.router(), nowMilliseconds);
            expireOlderIncarnations(registered.router(), nowMilliseconds);
            registerOrAnnounceTerm(registered.router());
        } else if (message instanceof VmRemoved removed) {
            expireVm(removed.vm(), nowMilliseconds);
        } else if (message instanceof RouterMessageReceived received) {
            if (received.message() instanceof Report report) {
                applyReport(received.router(), report, nowMilliseconds);
            }
        } else if (message instanceof LimitsPublished published) {
            publish(published.limits(), nowMilliseconds);
        }
        servePending(nowMilliseconds);
        flush();
        mEffects.add(new WakeAt(nowMilliseconds + wakeAfterMilliseconds()));
        return mEffects;
    }

    private void addRouter(RouterIdentity router, long nowMilliseconds) {
        mRouters.computeIfAbsent(router, added -> new RouterHoldings()).await(nowMilliseconds);
    }

    private void registerOrAnnounceTerm(RouterIdentity router) {
        RouterHoldings holdings = mRouters.get(router);
        if (holdings == null) {
            boolean isOutdated =
                    mRouters.keySet().stream().anyMatch(other -> isLaterRun(other, router));
            if (!isOutdated) {
                mEffects.add(new Register(router));
            }
        } else if (!holdings.isKnown()) {
            mEffects.add(new Send(router, new TermBegan(mTerm)));
        }
    }

    private void applyReport(RouterIdentity router, Report report, long nowMilliseconds) {
        RouterHoldings holdings = mRouters.get(router);
        if (holdings == null || report.term() != mTerm) {
            if (holdings == null || report.term() < mTerm) {
                registerOrRepeatTerm(router, holdings);
            }
            return;
        }
        if (!holdings.isKnown() && !report.complete()) {
            mEffects.add(new Send(router, new TermBegan(mTerm)));
            return;
        }
        holdings.markAlive();
        boolean newest = holdings.isNewest(report);
        fillBeforeChange(holdings, report.entries(), nowMilliseconds);
        if (holdings.isReclaimed()) {
            holdings.all().forEach((customer, holding) -> addHeld(customer, holding.heldTokens()));
        }
        holdings.reported();
        holdings.markKnown();
        report.entries()
                .forEach(entry -> applyEntry(router, holdings, entry, newest, nowMilliseconds));
        outbox(router);
    }

    private List<GrantEntry> outbox(RouterIdentity router) {
        return mOutbox.computeIfAbsent(router, r -> new ArrayList<>());
    }

    private void registerOrRepeatTerm(RouterIdentity router, RouterHoldings holdings) {
        if (holdings == null) {
            registerOrAnnounceTerm(router);
        } else {
            mEffects.add(new Send(router, new TermBegan(mTerm)));
        }
    }

    /**
     * Fills the buckets named by the report before the holdings change. The first report of an
     * incarnation, or the first after a silence, changes the tokens that count as held of every
     * customer, so it fills all buckets.
     */
    private void fillBeforeChange(
            RouterHoldings holdings, List<ReportEntry> entries, long nowMilliseconds) {
        if (!holdings.isKnown() || holdings.isReclaimed()) {
            mBuckets.values().forEach(bucket -> fill(bucket, nowMilliseconds));
        }
        for (ReportEntry entry : entries) {
            CustomerBucket bucket = bucket(entry.customer(), nowMilliseconds);
            if (bucket != null) {
                fill(bucket, nowMilliseconds);
            }
        }
    }

    private CustomerBucket bucket(ObjectName customer, long nowMilliseconds) {
        CustomerLimit limit = mLimits.get(customer);
        CustomerBucket bucket = mBuckets.get(customer);
        if (bucket == null && limit != null) {
            long initialTokens = mPolicy.initialTokens(limit, mOwnerlessMilliseconds);
            bucket = new CustomerBucket(limit, initialTokens, nowMilliseconds);
            bucket.addHeldTokens(heldByKnownRouters(customer));
            mBuckets.put(customer, bucket);
        }
        return bucket;
    }

    private long heldByKnownRouters(ObjectName customer) {
        return mRouters.values().stream()
                .filter(holdings -> !holdings.isReclaimed())
                .map(holdings -> holdings.all().get(customer))
                .filter(Objects::nonNull)
                .mapToLong(RouterHoldings.Holding::heldTokens)
                .sum();
    }

    private void applyEntry(
            RouterIdentity router,
            RouterHoldings holdings,
            ReportEntry entry,
            boolean newest,
            long nowMilliseconds) {
        RouterHoldings.Holding holding = holdings.of(entry.customer());
        long beforeTokens = holding.heldTokens();
        long newlyReturnedTokens = holding.update(entry);
        CustomerBucket bucket = mBuckets.get(entry.customer());
        if (bucket == null) {
            return;
        }
        bucket.addHeldTokens(holding.heldTokens() - beforeTokens);
        bucket.addReturnedTokens(newlyReturnedTokens);
        if (newest && (entry.asksForTotal() || holding.lacksGrants(entry, nowMilliseconds))) {
            holding.grantsRepeated(nowMilliseconds);
            outbox(router).add(new GrantEntry(entry.customer(), holding.grantedTokens(), false));
        }
        if (newest) {
            putRequest(router, bucket, entry, holding.grantedTokens() - entry.grantedTokens());
            mPendingBuckets.add(bucket);
        }
    }

    /** Records the tokens that a router requests beyond the grants that are in flight to it. */
    private static void putRequest(
            RouterIdentity router, CustomerBucket bucket, ReportEntry entry, long inFlightTokens) {
        long firstWaitingTokens = Math.max(0, entry.firstWaitingTokens() - inFlightTokens);
        long pendingTokens = Math.max(0, entry.pendingTokens() - inFlightTokens);
        long prefetchTokens = Math.max(0, entry.prefetchTokens() - inFlightTokens);
        if (pendingTokens == 0 && prefetchTokens == 0) {
            bucket.requests().remove(router);
        } else {
            bucket.requests()
                    .put(
                            router,
                            new TokenRequest(firstWaitingTokens, pendingTokens, prefetchTokens));
        }
    }

    private void servePending(long nowMilliseconds) {
        for (CustomerBucket bucket : List.copyOf(mPendingBuckets)) {
            fill(bucket, nowMilliseconds);
            serveWaiting(bucket, nowMilliseconds);
            if (!bucket.isExhausted()) {
                servePrefetch(bucket, nowMilliseconds);
                mPendingBuckets.remove(bucket);
            }
        }
    }

    /**
     * Grants tokens for waiting calls in the order of the requests. Later requests do not overtake
     * a large one.
     */
    private void serveWaiting(CustomerBucket bucket, long nowMilliseconds) {
        bucket.setExhausted(false);
        Iterator<Map.Entry<RouterIdentity, TokenRequest>> requests =
                bucket.requests().entrySet().iterator();
        while (requests.hasNext() && !bucket.isExhausted()) {
            Map.Entry<RouterIdentity, TokenRequest> entry = requests.next();
            TokenRequest request = entry.getValue();
            long headroomTokens = headroomOf(entry.getKey(), bucket);
            if (request.pendingTokens() == 0 || headroomTokens < request.firstWaitingTokens()) {
                continue;
            }
            if (bucket.levelTokens() < request.firstWaitingTokens()) {
                bucket.setExhausted(true);
                recall(bucket, entry.getKey(), nowMilliseconds);
            } else {
                long maxTokens = Math.min(headroomTokens, bucket.levelTokens());
                long grantedTokens = Math.min(request.pendingTokens(), maxTokens);
                grant(entry.getKey(), bucket, grantedTokens, nowMilliseconds);
                requests.remove();
            }
        }
    }

    /**
     * Grants tokens requested in advance of calls, as long as the bucket stays above a minimum
     * level, and up to what the next owner assumes that unreported routers hold.
     */
    private void servePrefetch(CustomerBucket bucket, long nowMilliseconds) {
        Iterator<Map.Entry<RouterIdentity, TokenRequest>> requests =
                bucket.requests().entrySet().iterator();
        long minLevelTokens = bucket.limit().burstTokens() / mPolicy.holderDivisor();
        while (requests.hasNext()) {
            Map.Entry<RouterIdentity, TokenRequest> entry = requests.next();
            long spareTokens = (bucket.levelTokens() - minLevelTokens) / 2;
            long unheldTokens = mPolicy.maxUnreportedTokens(bucket.limit()) - bucket.heldTokens();
            long maxTokens =
                    Math.min(
                            headroomOf(entry.getKey(), bucket),
                            Math.min(spareTokens, unheldTokens));
            long grantedTokens = Math.min(entry.getValue().prefetchTokens(), maxTokens);
            if (grantedTokens > 0) {
                grant(entry.getKey(), bucket, grantedTokens, nowMilliseconds);
            }
            if (entry.getValue().pendingTokens() == 0) {
                requests.remove();
            }
        }
    }

    private long headroomOf(RouterIdentity router, CustomerBucket bucket) {
        RouterHoldings holdings = mRouters.get(router);
        if (holdings == null) {
            return 0;
        }
        long heldTokens = holdings.of(bucket.limit().customer()).heldTokens();
        return mPolicy.maxHeldTokens(bucket.limit()) - heldTokens;
    }

    private void grant(
            RouterIdentity router, CustomerBucket bucket, long tokens, long nowMilliseconds) {
        ObjectName customer = bucket.limit().customer();
        RouterHoldings.Holding holding = mRouters.get(router).of(customer);
        bucket.grant(tokens);
        holding.grant(tokens, nowMilliseconds);
        outbox(router).add(new GrantEntry(customer, holding.grantedTokens(), false));
    }

    /** Asks the other routers to return the tokens that they do not need now. */
    private void recall(CustomerBucket bucket, RouterIdentity requester, long nowMilliseconds) {
        ObjectName customer = bucket.limit().customer();
        mRouters.forEach(
                (router, holdings) -> {
                    long sinceRecallMilliseconds =
                            nowMilliseconds - mRecalledAtMilliseconds.getOrDefault(router, 0L);
                    boolean holds = holdings.isKnown() && holdings.of(customer).heldTokens() > 0;
                    if (holds
                            && !router.equals(requester)
                            && sinceRecallMilliseconds > MIN_RECALL_INTERVAL_MILLISECONDS) {
                        mRecalledAtMilliseconds.put(router, nowMilliseconds);
                        holdings.await(nowMilliseconds);
                        long grantedTokens = holdings.of(customer).grantedTokens();
                        outbox(router).add(new GrantEntry(customer, grantedTokens, true));
                    }
                });
    }

    private void fill(CustomerBucket bucket, long nowMilliseconds) {
        long unreportedRouters =
                mRouters.values().stream()
                        .filter(holdings -> !holdings.isKnown() && !holdings.isReclaimed())
                        .count();
        bucket.fill(nowMilliseconds, mPolicy.unreportedTokens(bucket.limit(), unreportedRouters));
    }

    private void publish(List<CustomerLimit> limits, long nowMilliseconds) {
        Map<ObjectName, CustomerLimit> limitsByCustomer = new HashMap<>();
        for (CustomerLimit limit : limits) {
            limitsByCustomer.put(limit.customer(), limit);
            CustomerBucket bucket = mBuckets.get(limit.customer());
            if (bucket != null) {
                fill(bucket, nowMilliseconds);
                bucket.changeLimit(limit);
            }
        }
        mLimits = limitsByCustomer;
        limits.forEach(limit -> bucket(limit.customer(), nowMilliseconds));
    }

    private void expireOlderIncarnations(RouterIdentity router, long nowMilliseconds) {
        mRouters.forEach(
                (other, holdings) -> {
                    if (isLaterRun(router, other)) {
                        holdings.end(nowMilliseconds + mPolicy.endpointStopMilliseconds());
                    }
                });
    }

    private void expireVm(ObjectName vm, long nowMilliseconds) {
        mRouters.forEach(
                (router, holdings) -> {
                    if (router.vm().equals(vm)) {
                        holdings.expectEndBy(nowMilliseconds + mPolicy.endpointStopMilliseconds());
                    }
                });
    }

    private void removeExpired(long nowMilliseconds) {
        List<RouterIdentity> expired = new ArrayList<>();
        mRouters.forEach(
                (router, holdings) -> {
                    if (holdings.expiresAtMilliseconds() <= nowMilliseconds) {
                        expired.add(router);
                    }
                });
        if (!expired.isEmpty()) {
            mBuckets.values().forEach(bucket -> fill(bucket, nowMilliseconds));
        }
        for (RouterIdentity router : expired) {
            RouterHoldings holdings = mRouters.remove(router);
            if (!holdings.isReclaimed()) {
                release(holdings);
            }
            removeRequests(router);
            mRecalledAtMilliseconds.remove(router);
            mEffects.add(new Unregister(router));
        }
    }

    /**
     * Stops counting the tokens of routers that have not answered a recall, or have not reported in
     * this term, for so long that they have given them up.
     */
    private void reclaimSilent(long nowMilliseconds) {
        if (!mPolicy.tokensLapse()) {
            return;
        }
        long sinceMilliseconds = nowMilliseconds - mPolicy.reclaimMilliseconds();
        mRouters.forEach(
                (router, holdings) -> {
                    if (holdings.isAwaitedSince(sinceMilliseconds) && !holdings.isReclaimed()) {
                        mBuckets.values().forEach(bucket -> fill(bucket, nowMilliseconds));
                        release(holdings);
                        holdings.reclaim();
                        mEffects.add(new LimitOwnerEffect.Reclaimed(router));
                        removeRequests(router);
                    }
                });
    }

    /**
     * Removes the holdings of an incarnation that can no longer use them. Its tokens are lost; they
     * only free capacity for the bucket to fill again.
     */
    private void release(RouterHoldings holdings) {
        holdings.all().forEach((customer, holding) -> addHeld(customer, -holding.heldTokens()));
    }

    private void addHeld(ObjectName customer, long tokens) {
        CustomerBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.addHeldTokens(tokens);
        }
    }

    private void removeRequests(RouterIdentity router) {
        mBuckets.values().forEach(bucket -> bucket.requests().remove(router));
    }

    private void flush() {
        mOutbox.forEach(
                (router, entries) -> {
                    long sequence = mRouters.get(router).lastSequence();
                    mEffects.add(new SendConfirmed(router, new Grants(mTerm, sequence, entries)));
                });
        mOutbox.clear();
    }

    private long wakeAfterMilliseconds() {
        return mPendingBuckets.isEmpty() ? IDLE_WAKE_MILLISECONDS : PENDING_WAKE_MILLISECONDS;
    }

    private static boolean isLaterRun(RouterIdentity one, RouterIdentity other) {
        return one.vm().equals(other.vm()) && one.incarnation() > other.incarnation();
    }
}
