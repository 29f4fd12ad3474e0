package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsDecider;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage;
import org.skylarkbend.orders.weights.WeightsMessage.Reported;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests commanders that stop between the announcement of an order and the order, and engines to
 * which nothing can be sent.
 */
public class EndpointsTaskTest {
    private static final long TAKEOVER_MILLISECONDS = 3_000;
    private static final long OLD_WEIGHTS_MILLISECONDS = 60_000;
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 10;
    private static final int TICKS = 3;
    private static final long OLD_VERSION = 1;
    private static final long NEW_VERSION = 2;

    /** Longer than two reads of the list take. */
    private static final long READS_MILLISECONDS = 1_200;

    private static final Endpoint ENGINE =
            new Endpoint("e", "desk", "127.0.0.1", 1, "z", "v1", 6, false, 1, Map.of("m", 1L));

    private final AtomicLong mNowMilliseconds = new AtomicLong(100_000);
    private final LinkedBlockingQueue<Proposal> mProposals = new LinkedBlockingQueue<>();
    private final List<Load> mOrders = new CopyOnWriteArrayList<>();
    private final List<EndpointsTask> mTasks = new CopyOnWriteArrayList<>();
    private final List<Announced> mAnnounced = new CopyOnWriteArrayList<>();
    private final AtomicReference<EndpointSource> mSource = new AtomicReference<>();
    private final AtomicInteger mLists = new AtomicInteger();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private volatile Set<String> mUnaskable = Set.of();
    private volatile Set<String> mUnorderable = Set.of();
    private volatile boolean mKeepsWeights;
    private Vertx mVertx;

    /** An entry that is not committed yet. */
    private record Proposal(ControlEntry entry, Promise<Result<byte[]>> result) {}

    /** A list of endpoints as it was announced to gateways. */
    private record Announced(Optional<Endpoints> previous, Endpoints whole) {}

    /** A log that commits an entry only when the test says so. */
    private final class HeldLog implements ControlLog {
        @Override
        public Future<Result<byte[]>> propose(ControlEntry entry) {
            Proposal proposal = new Proposal(entry, Promise.promise());
            mProposals.add(proposal);
            return proposal.result().future();
        }

        @Override
        public Future<Result<Long>> confirmLeadership() {
            return Future.succeededFuture(Result.success(1L));
        }

        @Override
        public Future<LogStatus> status() {
            return Future.succeededFuture(new LogStatus(1, 1, List.of()));
        }
    }

    /**
     * Idle engines that accept every order. Requests for a report, or orders, to some engines
     * cannot be sent.
     */
    private final class RecordingEngine implements EngineCommands {
        @Override
        public Future<WeightsMessage> report(Endpoint engine) {
            requireSendable(mUnaskable, engine);
            boolean isLoaded =
                    mOrders.stream().anyMatch(load -> load.engine().equals(engine.incarnation()));
            Map<String, Long> weights =
                    Map.of("m", isLoaded && mKeepsWeights ? NEW_VERSION : OLD_VERSION);
            return Future.succeededFuture(new Reported(engine.incarnation(), weights, false, 0, 0));
        }

        @Override
        public Future<LoadAnswer> load(Endpoint engine, Load load) {
            requireSendable(mUnorderable, engine);
            mOrders.add(load);
            return Future.succeededFuture(LoadAnswer.ACCEPTED);
        }

        private void requireSendable(Set<String> unsendable, Endpoint engine) {
            if (unsendable.contains(engine.id())) {
                throw new IllegalArgumentException("a header cannot hold " + engine.id());
            }
        }
    }

    @BeforeMethod
    public void createVertx() {
        mVertx = Vertx.vertx();
        mProposals.clear();
        mOrders.clear();
        mTasks.clear();
        mAnnounced.clear();
        mUnaskable = Set.of();
        mUnorderable = Set.of();
        mKeepsWeights = false;
        mSource.set(() -> Future.succeededFuture(Result.success(List.of(ENGINE))));
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    /** Guards against an order that a planned stop loses, or that goes out twice around it. */
    @Test
    public void anOrderAnnouncedByACommanderThatStoppedIsGivenOnceByTheNextAfterTheWait()
            throws Exception {
        EndpointsTask first = start();
        EndpointsTask second = start();
        first.post(leaderOf(1));
        Proposal announced = mProposals.poll(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertThat(announced).isNotNull();
        await(mVertx.undeploy(first.deploymentID()));
        commit(announced);
        second.post(leaderOf(2));
        awaitLists(TICKS);
        assertThat(mOrders).as("orders within the wait").isEmpty();
        assertThat(mProposals).as("announcements within the wait").isEmpty();
        mNowMilliseconds.addAndGet(TAKEOVER_MILLISECONDS);
        commit(mProposals.poll(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS));
        awaitUntil(() -> !mOrders.isEmpty());
        awaitLists(TICKS);
        assertThat(mOrders).extracting(Load::fencingNumber).containsExactly(2L);
    }

    /** Guards against a commander that orders by a leadership it had before its announcement. */
    @Test
    public void anOrderAnnouncedByACommanderThatLostTheLeadIsNotGivenByIt() throws Exception {
        EndpointsTask first = start();
        first.post(leaderOf(1));
        Proposal announced = mProposals.poll(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
        first.post(new Leadership(false, 2, Optional.empty(), 0));
        commit(announced);
        first.post(leaderOf(3));
        awaitLists(TICKS);
        assertThat(mOrders).isEmpty();
    }

    /** Guards against gateways that never get the list of a member that leads again. */
    @Test
    public void aMemberThatLeadsAgainAnnouncesTheWholeListAlthoughItIsTheSame() throws Exception {
        EndpointsTask task = start();
        task.post(leaderOf(1));
        awaitUntil(() -> mAnnounced.size() == 1);
        task.post(new Leadership(false, 2, Optional.empty(), 0));
        task.post(leaderOf(3));
        awaitUntil(() -> mAnnounced.size() == 2);
        assertThat(mAnnounced).extracting(Announced::previous).containsOnly(Optional.empty());
        assertThat(mAnnounced)
                .extracting(Announced::whole)
                .allMatch(mAnnounced.get(0).whole()::equals);
    }

    /** Guards against a change that is not announced because the next read of the list fails. */
    @Test
    public void aChangeThatWaitsForItsAnnouncementIsAnnouncedThoughTheNextReadFails()
            throws Exception {
        EndpointsTask task = start();
        task.post(leaderOf(1));
        awaitUntil(() -> mAnnounced.size() == 1);
        mNowMilliseconds.addAndGet(-READS_MILLISECONDS);
        mSource.set(() -> Future.succeededFuture(Result.success(List.of())));
        awaitLists(1);
        mSource.set(
                () ->
                        Future.succeededFuture(
                                Result.failure(ErrorKind.ENDPOINT_FAILED, "unavailable")));
        awaitUntil(() -> mAnnounced.size() == 2);
        assertThat(mAnnounced.get(1).whole().endpoints()).isEmpty();
    }

    /** Guards against gateways that get a list that was asked for in a former leadership. */
    @Test
    public void aListThatWasAskedForInAFormerLeadershipIsNotAnnounced() throws Exception {
        Promise<Result<List<Endpoint>>> late = Promise.promise();
        AtomicReference<Context> owner = new AtomicReference<>();
        mSource.set(
                () -> {
                    owner.set(mVertx.getOrCreateContext());
                    return late.future();
                });
        EndpointsTask task = start();
        task.post(leaderOf(1));
        awaitUntil(() -> owner.get() != null);
        task.post(new Leadership(false, 2, Optional.empty(), 0));
        task.post(leaderOf(3));
        mSource.set(() -> Future.succeededFuture(Result.success(List.of(ENGINE))));
        Endpoint left =
                new Endpoint("left", "desk", "127.0.0.1", 2, "z", "v1", 6, false, 1, Map.of());
        owner.get().runOnContext(ignored -> late.complete(Result.success(List.of(left))));
        awaitUntil(() -> !mAnnounced.isEmpty());
        assertThat(mAnnounced.get(0).whole().endpoints())
                .extracting(Endpoint::incarnation)
                .containsExactly(ENGINE.incarnation());
    }

    /** Guards against sound engines that never get weights because of an odd entry. */
    @Test
    public void anEngineThatCannotBeAskedTakesNothingFromTheOthers() throws Exception {
        mUnaskable = Set.of("a1", "a2");
        assertThat(enginesOrdered("a1", "a2", "b1", "b2", "b3", "b4"))
                .containsExactlyInAnyOrder("b1@1", "b2@1", "b3@1", "b4@1");
    }

    /** Guards against an order that counts as sent although it could not be sent. */
    @Test
    public void anEngineThatCannotBeOrderedTakesNothingFromTheOthers() throws Exception {
        mUnorderable = Set.of("a1", "a2");
        assertThat(enginesOrdered("a1", "a2", "b1", "b2", "b3", "b4"))
                .containsExactlyInAnyOrder("b1@1", "b2@1", "b3@1", "b4@1");
    }

    /** Guards against places for loads that engines of other owners take. */
    @Test
    public void anEngineOfAServiceThatNoCatalogNamesGetsNoOrder() throws Exception {
        Endpoint other =
                new Endpoint("a", "other", "127.0.0.1", 1, "z", "v1", 6, false, 1, Map.of("m", 1L));
        mKeepsWeights = true;
        mSource.set(() -> Future.succeededFuture(Result.success(List.of(other, ENGINE))));
        EndpointsTask task = start();
        task.postServices(Set.of("desk"));
        task.post(leaderOf(1));
        commitUntil(() -> !mOrders.isEmpty());
        awaitLists(TICKS);
        assertThat(mOrders).extracting(Load::engine).containsOnly(ENGINE.incarnation());
        assertThat(mProposals).isEmpty();
        assertThat(mMetrics.counter("unnamed").getCount()).isEqualTo(1);
    }

    /** Returns the engines that are ordered, out of those with the given IDs. */
    private Set<String> enginesOrdered(String... ids) throws Exception {
        List<Endpoint> engines =
                Stream.of(ids)
                        .map(
                                id ->
                                        new Endpoint(
                                                id,
                                                "desk",
                                                "127.0.0.1",
                                                1,
                                                "z",
                                                "v1",
                                                6,
                                                false,
                                                1,
                                                Map.of("m", OLD_VERSION)))
                        .toList();
        mKeepsWeights = true;
        mSource.set(() -> Future.succeededFuture(Result.success(engines)));
        EndpointsTask task = start();
        task.post(leaderOf(1));
        long sound = engines.size() - mUnaskable.size() - mUnorderable.size();
        commitUntil(() -> mOrders.stream().map(Load::engine).distinct().count() == sound);
        return mOrders.stream().map(Load::engine).collect(Collectors.toSet());
    }

    /** Commits what is proposed, while time passes, until a condition holds. */
    private void commitUntil(BooleanSupplier condition) throws Exception {
        awaitUntil(
                () -> {
                    mNowMilliseconds.addAndGet(POLL_MILLISECONDS);
                    Proposal proposal = mProposals.poll();
                    if (proposal != null) {
                        commit(proposal);
                    }
                    return condition.getAsBoolean();
                });
    }

    private EndpointsTask start() throws Exception {
        EndpointsTask task =
                new EndpointsTask(
                        () -> {
                            mLists.incrementAndGet();
                            return mSource.get().list();
                        },
                        new RecordingEngine(),
                        new HeldLog(),
                        new WeightsDecider(TAKEOVER_MILLISECONDS, OLD_WEIGHTS_MILLISECONDS),
                        mNowMilliseconds::get,
                        MillisecondClock.wall(),
                        mMetrics.counter("unnamed"),
                        (previous, whole) -> mAnnounced.add(new Announced(previous, whole)));
        await(mVertx.deployVerticle(task));
        task.postWeights(Map.of("m", 2L));
        mTasks.add(task);
        return task;
    }

    /** Applies an announcement at all members and confirms it to the one that made it. */
    private void commit(Proposal proposal) {
        assertThat(proposal).isNotNull();
        OrdersSlice slice =
                new OrdersSlice(order -> mTasks.forEach(task -> task.postAnnounced(order)));
        proposal.result().complete(slice.apply(proposal.entry().payload(), 0));
    }

    private static Leadership leaderOf(long term) {
        return new Leadership(true, term, Optional.empty(), 0);
    }

    /** Waits until the commander has read the list of endpoints several times more. */
    private void awaitLists(int count) throws Exception {
        int until = mLists.get() + count;
        awaitUntil(() -> mLists.get() >= until);
    }

    private void awaitUntil(BooleanSupplier condition) throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(untilNanoseconds);
            await(mVertx.timer(POLL_MILLISECONDS, TimeUnit.MILLISECONDS));
        }
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
