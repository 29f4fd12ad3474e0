package org.skylarkbend.control.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.control.log.LogStatus;
import org.skylarkbend.moves.rollout.ExposureLimit;
import org.skylarkbend.moves.rollout.Rollout;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutMessage.Advanced;
import org.skylarkbend.moves.rollout.RolloutPhase;
import org.skylarkbend.moves.rollout.RolloutState;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests rollouts around a change of the leader. */
public class RolloutTaskTest {
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final long DURATION_MILLISECONDS = 10_000;
    private static final long NOW_MILLISECONDS = 100_000;
    private static final Endpoint ENDPOINT =
            new Endpoint("e", "desk", "127.0.0.1", 1, "z", "v2", 6, false, 1, Map.of());
    private static final Rollout OVERDUE =
            new Rollout(
                    "desk",
                    "v2",
                    1,
                    DURATION_MILLISECONDS,
                    RolloutPhase.TRIAL,
                    1,
                    new TreeSet<>(),
                    "");

    private final BlockingQueue<Advanced> mProposed = new LinkedBlockingQueue<>();
    private Vertx mVertx;

    /** A log that records what is proposed and commits nothing. */
    private final class RecordingLog implements ControlLog {
        @Override
        public Future<Result<byte[]>> propose(ControlEntry entry) {
            RolloutCodec.decode(entry.payload())
                    .match(
                            message -> mProposed.add((Advanced) message),
                            error -> Assert.fail(error.detail()));
            return Promise.<Result<byte[]>>promise().future();
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

    @BeforeMethod
    public void createVertx() {
        mVertx = Vertx.vertx();
        mProposed.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    /** Guards against a rollout that ends because its leader has not read the endpoints yet. */
    @Test
    public void aLeaderJudgesNoRolloutBeforeItKnowsTheEndpoints() throws Exception {
        RolloutTask task = deploy();
        task.post(new RolloutState(new TreeMap<>(Map.of("desk", OVERDUE))));
        task.post(leaderOf(1));
        task.post(new Endpoints(List.of(ENDPOINT), Set.of()));
        assertThat(nextReason()).isEqualTo("not shown to be good in time");
    }

    /** Guards against a rollout that is judged by the endpoints of a former leadership. */
    @Test
    public void aLeaderForgetsTheEndpointsOfItsFormerLeadership() throws Exception {
        RolloutTask task = deploy();
        task.post(leaderOf(1));
        task.post(new Endpoints(List.of(ENDPOINT), Set.of()));
        task.post(new Leadership(false, 2, Optional.empty(), 0));
        task.post(new RolloutState(new TreeMap<>(Map.of("desk", OVERDUE))));
        task.post(leaderOf(3));
        task.post(new Endpoints(List.of(), Set.of()));
        assertThat(nextReason()).isEqualTo("no endpoint of the version is listed");
    }

    private RolloutTask deploy() throws Exception {
        RolloutTask task =
                new RolloutTask(
                        new RecordingLog(),
                        new ExposureLimit(0.1, 50),
                        () -> NOW_MILLISECONDS,
                        () -> NOW_MILLISECONDS,
                        splits -> {});
        await(mVertx.deployVerticle(task));
        return task;
    }

    private String nextReason() throws Exception {
        Advanced proposed = mProposed.poll(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
        assertThat(proposed).isNotNull();
        return proposed.reason();
    }

    private static Leadership leaderOf(long term) {
        return new Leadership(true, term, Optional.empty(), 0);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
