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
import org.skylarkbend.limits.CustomerBucket.Want;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.limits.LimitOwnerEffect.Forget;
import org.skylarkbend.limits.LimitOwnerEffect.Register;
import org.skylarkbend.limits.LimitOwnerEffect.Send;
import org.skylarkbend.limits.LimitOwnerEffect.SendConfirmed;
import org.skylarkbend.limits.LimitOwnerEffect.WakeAt;
import org.skylarkbend.limits.LimitOwnerMessage.LimitsPublished;
import org.skylarkbend.limits.LimitOwnerMessage.RouterConnected;
import org.skylarkbend.limits.LimitOwnerMessage.RouterRegistered;
import org.skylarkbend.limits.LimitOwnerMessage.RouterSaid;
import org.skylarkbend.limits.LimitOwnerMessage.VmGone;

/**
 * Decides for the owner of limits in one term of leadership. Make a new one when a term begins, and
 * drop it when the term ends.
 *
 * <p>Why no window lets through more than the burst and the rate times its length: let the
 * <em>potential</em> of a customer be its bucket, all that routers hold, and all grants on their
 * way.
 *
 * <ul>
 *   <li>It never exceeds the burst: a bucket is filled only into the room that the burst leaves
 *       beside all holdings. Those of a router that has not reported in this term count with the
 *       most that one router may hold; a router that died counts until endpoints have stopped its
 *       work.
 *   <li>It grows at the rate and no faster: a new owner starts with an empty bucket, and fills it
 *       from its election on. An owner that was replaced fills no more, since a grant leaves it
 *       only once a quorum round begun after the decision has confirmed its term.
 *   <li>It falls with each token used, and a token is used only out of it.
 * </ul>
 *
 * <p>So what is used within a window is at most the potential at its beginning and what flows in
 * during it. Clocks enter only through the speed at which the owner's clock runs.
 */
public final class LimitOwnerDecider {
    private static final long RECALL_MILLISECONDS = 100;
    private static final long SHORT_WAKE_MILLISECONDS = 20;
    private static final long IDLE_WAKE_MILLISECONDS = 1_000;

    private final LimitPolicy mPolicy;
    private final long mTerm;
    private final Map<RouterIdentity, RouterHoldings> mRouters = new LinkedHashMap<>();
    private final Map<ObjectName, CustomerBucket> mBuckets = new HashMap<>();
    private final Set<CustomerBucket> mShort = new LinkedHashSet<>();
    private final Map<RouterIdentity, List<GrantEntry>> mOutbox = new LinkedHashMap<>();
    private final Map<RouterIdentity, Long> mRecalledAtMilliseconds = new HashMap<>();
    private List<LimitOwnerEffect> mEffects = new ArrayList<>();
    private Map<ObjectName, CustomerLimit> mLimits = Map.of();

    /**
     * The owner of a term.
     *
     * @param policy how routers and owner share
     * @param term the term of leadership; it counts up
     * @param registry the registered runs at the beginning of the term, when every entry of earlier
     *     terms has been applied
     * @param nowMilliseconds the time after the election was won
     */
    public LimitOwnerDecider(
            LimitPolicy policy, long term, LimitRegistry registry, long nowMilliseconds) {
        mPolicy = policy;
        mTerm = term;
        registry.routers().forEach(router -> mRouters.put(router, new RouterHoldings()));
        registry.routers().forEach(router -> forgetOlderRuns(router, nowMilliseconds));
    }

    /** Takes a message and returns what to do next. */
    public List<LimitOwnerEffect> decide(LimitOwnerMessage message, long nowMilliseconds) {
        mEffects = new ArrayList<>();
        forgetDead(nowMilliseconds);
        if (message instanceof RouterConnected connected) {
            greet(connected.router());
        } else if (message instanceof RouterRegistered registered) {
            mRouters.putIfAbsent(registered.router(), new RouterHoldings());
            forgetOlderRuns(registered.router(), nowMilliseconds);
            greet(registered.router());
        } else if (message instanceof VmGone gone) {
            forgetVm(gone.vm(), nowMilliseconds);
        } else if (message instanceof RouterSaid said) {
            if (said.message() instanceof Report report) {
                takeReport(said.router(), report, nowMilliseconds);
            }
        } else if (message instanceof LimitsPublished published) {
            publish(published.limits(), nowMilliseconds);
        }
        serveShort(nowMilliseconds);
        flush();
        mEffects.add(new WakeAt(nowMilliseconds + wakeAfterMilliseconds()));
        return mEffects;
    }

    private void greet(RouterIdentity router) {
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

    private void takeReport(RouterIdentity router, Report report, long nowMilliseconds) {
        RouterHoldings holdings = mRouters.get(router);
        if (holdings == null || report.term() != mTerm) {
            if (holdings == null || report.term() < mTerm) {
                greetAgain(router, holdings);
            }
            return;
        }
        if (!holdings.isKnown() && !report.complete()) {
            mEffects.add(new Send(router, new TermBegan(mTerm)));
            return;
        }
        holdings.heard();
        boolean newest = holdings.isNewest(report);
        fillBeforeChange(holdings, report.entries(), nowMilliseconds);
        holdings.becomeKnown();
        report.entries().forEach(entry -> takeEntry(router, holdings, entry, newest));
        mOutbox.computeIfAbsent(router, r -> new ArrayList<>());
    }

    private void greetAgain(RouterIdentity router, RouterHoldings holdings) {
        if (holdings == null) {
            greet(router);
        } else {
            mEffects.add(new Send(router, new TermBegan(mTerm)));
        }
    }

    /**
     * Fills what the report is about while the holdings are still those of before. The first report
     * of a run lowers what counts as held of every customer.
     */
    private void fillBeforeChange(
            RouterHoldings holdings, List<ReportEntry> entries, long nowMilliseconds) {
        if (!holdings.isKnown()) {
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
            bucket = new CustomerBucket(limit, mPolicy.headStartTokens(limit), nowMilliseconds);
            bucket.heldChanged(heldByKnownRouters(customer));
            mBuckets.put(customer, bucket);
        }
        return bucket;
    }

    private long heldByKnownRouters(ObjectName customer) {
        return mRouters.values().stream()
                .map(holdings -> holdings.all().get(customer))
                .filter(Objects::nonNull)
                .mapToLong(RouterHoldings.Holding::heldTokens)
                .sum();
    }

    private void takeEntry(
            RouterIdentity router, RouterHoldings holdings, ReportEntry entry, boolean newest) {
        RouterHoldings.Holding holding = holdings.of(entry.customer());
        long beforeTokens = holding.heldTokens();
        long cameBackTokens = holding.takeIn(entry);
        CustomerBucket bucket = mBuckets.get(entry.customer());
        if (bucket == null) {
            return;
        }
        bucket.heldChanged(holding.heldTokens() - beforeTokens);
        bucket.takeBack(cameBackTokens);
        if (newest) {
            putWant(router, bucket, entry, holding.grantedTokens() - entry.grantedTokens());
            mShort.add(bucket);
        }
    }

    /** Notes what a router wants beyond the grants that are still on their way to it. */
    private static void putWant(
            RouterIdentity router, CustomerBucket bucket, ReportEntry entry, long onTheirWay) {
        long firstTokens = Math.max(0, entry.firstTokens() - onTheirWay);
        long wantedTokens = Math.max(0, entry.wantedTokens() - onTheirWay);
        long aheadTokens = Math.max(0, entry.aheadTokens() - onTheirWay);
        if (wantedTokens == 0 && aheadTokens == 0) {
            bucket.wants().remove(router);
        } else {
            bucket.wants().put(router, new Want(firstTokens, wantedTokens, aheadTokens));
        }
    }

    private void serveShort(long nowMilliseconds) {
        for (CustomerBucket bucket : List.copyOf(mShort)) {
            fill(bucket, nowMilliseconds);
            serveWaiting(bucket, nowMilliseconds);
            if (!bucket.isShort()) {
                serveAhead(bucket);
                mShort.remove(bucket);
            }
        }
    }

    /** Serves waiting calls in the order in which routers asked; a large one is not overtaken. */
    private void serveWaiting(CustomerBucket bucket, long nowMilliseconds) {
        bucket.setShort(false);
        Iterator<Map.Entry<RouterIdentity, Want>> wants = bucket.wants().entrySet().iterator();
        while (wants.hasNext() && !bucket.isShort()) {
            Map.Entry<RouterIdentity, Want> entry = wants.next();
            Want want = entry.getValue();
            long roomTokens = roomOf(entry.getKey(), bucket);
            if (want.wantedTokens() == 0 || roomTokens < want.firstTokens()) {
                continue;
            }
            if (bucket.levelTokens() < want.firstTokens()) {
                bucket.setShort(true);
                recall(bucket, entry.getKey(), nowMilliseconds);
            } else {
                long mostTokens = Math.min(roomTokens, bucket.levelTokens());
                grant(entry.getKey(), bucket, Math.min(want.wantedTokens(), mostTokens));
                wants.remove();
            }
        }
    }

    /** Serves what routers want ahead, while the bucket is well filled. */
    private void serveAhead(CustomerBucket bucket) {
        Iterator<Map.Entry<RouterIdentity, Want>> wants = bucket.wants().entrySet().iterator();
        long keptTokens = bucket.limit().burstTokens() / mPolicy.holderDivisor();
        while (wants.hasNext()) {
            Map.Entry<RouterIdentity, Want> entry = wants.next();
            long spareTokens = (bucket.levelTokens() - keptTokens) / 2;
            long mostTokens = Math.min(roomOf(entry.getKey(), bucket), spareTokens);
            long grantedTokens = Math.min(entry.getValue().aheadTokens(), mostTokens);
            if (grantedTokens > 0) {
                grant(entry.getKey(), bucket, grantedTokens);
            }
            if (entry.getValue().wantedTokens() == 0) {
                wants.remove();
            }
        }
    }

    private long roomOf(RouterIdentity router, CustomerBucket bucket) {
        RouterHoldings holdings = mRouters.get(router);
        if (holdings == null) {
            return 0;
        }
        long heldTokens = holdings.of(bucket.limit().customer()).heldTokens();
        return mPolicy.maxHeldTokens(bucket.limit()) - heldTokens;
    }

    private void grant(RouterIdentity router, CustomerBucket bucket, long tokens) {
        ObjectName customer = bucket.limit().customer();
        RouterHoldings.Holding holding = mRouters.get(router).of(customer);
        bucket.grant(tokens);
        holding.grant(tokens);
        mOutbox.computeIfAbsent(router, r -> new ArrayList<>())
                .add(new GrantEntry(customer, holding.grantedTokens(), false));
    }

    /** Asks the other routers to give back what they do not need now. */
    private void recall(CustomerBucket bucket, RouterIdentity asker, long nowMilliseconds) {
        ObjectName customer = bucket.limit().customer();
        mRouters.forEach(
                (router, holdings) -> {
                    long sinceMilliseconds =
                            nowMilliseconds - mRecalledAtMilliseconds.getOrDefault(router, 0L);
                    boolean holds = holdings.isKnown() && holdings.of(customer).heldTokens() > 0;
                    if (holds && !router.equals(asker) && sinceMilliseconds > RECALL_MILLISECONDS) {
                        mRecalledAtMilliseconds.put(router, nowMilliseconds);
                        long grantedTokens = holdings.of(customer).grantedTokens();
                        mOutbox.computeIfAbsent(router, r -> new ArrayList<>())
                                .add(new GrantEntry(customer, grantedTokens, true));
                    }
                });
    }

    private void fill(CustomerBucket bucket, long nowMilliseconds) {
        long silentRouters =
                mRouters.values().stream().filter(holdings -> !holdings.isKnown()).count();
        long silentTokens = silentRouters * mPolicy.maxHeldTokens(bucket.limit());
        bucket.fill(nowMilliseconds, silentTokens);
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

    private void forgetOlderRuns(RouterIdentity router, long nowMilliseconds) {
        mRouters.forEach(
                (other, holdings) -> {
                    if (isLaterRun(router, other)) {
                        holdings.end(nowMilliseconds + mPolicy.endpointStopMilliseconds());
                    }
                });
    }

    private void forgetVm(ObjectName vm, long nowMilliseconds) {
        mRouters.forEach(
                (router, holdings) -> {
                    if (router.vm().equals(vm)) {
                        holdings.expectEnd(nowMilliseconds + mPolicy.endpointStopMilliseconds());
                    }
                });
    }

    private void forgetDead(long nowMilliseconds) {
        List<RouterIdentity> dead = new ArrayList<>();
        mRouters.forEach(
                (router, holdings) -> {
                    if (holdings.forgetAtMilliseconds() <= nowMilliseconds) {
                        dead.add(router);
                    }
                });
        if (!dead.isEmpty()) {
            mBuckets.values().forEach(bucket -> fill(bucket, nowMilliseconds));
        }
        for (RouterIdentity router : dead) {
            mRouters.remove(router).all().forEach(this::releaseHolding);
            mBuckets.values().forEach(bucket -> bucket.wants().remove(router));
            mRecalledAtMilliseconds.remove(router);
            mEffects.add(new Forget(router));
        }
    }

    /** What a dead run held is lost; it only leaves room for the bucket to fill again. */
    private void releaseHolding(ObjectName customer, RouterHoldings.Holding holding) {
        CustomerBucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.heldChanged(-holding.heldTokens());
        }
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
        return mShort.isEmpty() ? IDLE_WAKE_MILLISECONDS : SHORT_WAKE_MILLISECONDS;
    }

    private static boolean isLaterRun(RouterIdentity one, RouterIdentity other) {
        return one.vm().equals(other.vm()) && one.incarnation() > other.incarnation();
    }
}
