package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.skylarkbend.agreement.LeaveOutcome;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Service;
import org.skylarkbend.catalog.SiteLimits;
import org.skylarkbend.moves.rollout.ExposureLimit;
import org.skylarkbend.moves.rollout.Rollout;
import org.skylarkbend.moves.rollout.RolloutMessage.Ordered;
import org.skylarkbend.moves.rollout.RolloutPhase;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage;
import org.skylarkbend.testing.LoopbackPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests control processes that are configured with three seed addresses only, on real sockets and
 * files.
 */
public class SiteControlProcessTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final Set<ObjectName> SEEDS = Set.of(vm(1), vm(2), vm(3));

    private final Map<ObjectName, Running> mRunning = new TreeMap<>();
    private SiteControlParts.Ports mPorts;
    private Path mFolder;
    private Vertx mVertx;

    /** A control process and the context of its operator operations. */
    private record Running(SiteControlProcess process, Context operators) {}

    @BeforeMethod
    public void prepare() throws Exception {
        mVertx = Vertx.vertx();
        mFolder = Files.createTempDirectory("site-control");
        mPorts = new SiteControlParts.Ports(LoopbackPorts.next(), LoopbackPorts.next());
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mRunning.clear();
        await(mVertx.close());
    }

    @Test
    public void fiveVmsThatKnowThreeAddressesBecomeOneGroupAndKeepADocumentOverRestarts()
            throws Exception {
        for (int i = 1; i <= 5; i++) {
            start(vm(i), true);
        }
        publish("7");
        publish("5");
        assertThat(current()).isEqualTo("7");
        for (int i = 1; i <= 5; i++) {
            stop(vm(i));
        }
        for (int i = 1; i <= 5; i++) {
            start(vm(i), false);
        }
        assertThat(current()).isEqualTo("7");
    }

    @Test
    public void anEvacuationIsKeptOverTheLossOfTheLeaderAndARestartOfAllUntilItIsWithdrawn()
            throws Exception {
        for (int i = 1; i <= 5; i++) {
            start(vm(i), true);
        }
        String first = eventually(operators -> operators.evacuate("nord"));
        String repeated = eventually(operators -> operators.evacuate("nord"));
        assertThat(List.of(first, repeated)).containsOnly("nord");
        stopLeader();
        assertThat(evacuated()).containsExactly("nord");
        for (ObjectName vm : List.copyOf(mRunning.keySet())) {
            stop(vm);
        }
        for (int i = 1; i <= 5; i++) {
            start(vm(i), false);
        }
        assertThat(evacuated()).containsExactly("nord");
        eventually(operators -> operators.withdrawEvacuation("nord"));
        assertThat(evacuated()).isEmpty();
    }

    @Test
    public void aVmThatStartsEmptyLaterThanTheOthersBeginsNoGroupOfItsOwn() throws Exception {
        for (int i = 1; i <= 3; i++) {
            start(vm(i), true);
        }
        publish("7");
        start(vm(4), false);
        publish("9");
        stop(vm(1));
        assertThat(current()).isEqualTo("9");
    }

    /** Guards against a VM that was stopped as planned and still counts as a voter. */
    @Test
    public void aVmThatIsNotNeededIsRemovedWhenItLeavesAndJoinsAgainWhenItStarts()
            throws Exception {
        for (int i = 1; i <= 5; i++) {
            start(vm(i), true);
        }
        publish("7");
        start(vm(6), false);
        LeaveOutcome outcome = LeaveOutcome.REMAINS;
        while (outcome != LeaveOutcome.REMOVED) {
            if (!mRunning.containsKey(vm(2))) {
                start(vm(2), false);
            }
            outcome = await(mRunning.get(vm(2)).process().leave(TIMEOUT_SECONDS * 1_000));
            stop(vm(2));
        }
        stop(vm(3));
        stop(vm(4));
        publish("8");
        start(vm(2), false);
        assertThat(current()).isEqualTo("8");
    }

    @Test
    public void whatCannotBeReadOrHasAProblemIsRefusedAndChangesNothing() throws Exception {
        for (int i = 1; i <= 3; i++) {
            start(vm(i), true);
        }
        publish("7");
        for (Running running : mRunning.values()) {
            Result<Long> refused = request(running, service -> service.publish("no number"));
            ErrorKind kind = refused.fold(number -> null, error -> error.kind());
            assertThat(kind).isEqualTo(ErrorKind.SET_INVALID);
        }
        assertThat(current()).isEqualTo("7");
    }

    @Test
    public void aRolloutIsKeptOverARestartOfAllVmsAndItsOrderIsAcknowledgedAgain()
            throws Exception {
        for (int i = 1; i <= 3; i++) {
            start(vm(i), true);
        }
        publish("7");
        Ordered order = new Ordered("desk", "v2", 60_000);
        String version = eventually(service -> service.startRollout(order));
        assertThat(version).isEqualTo("v2");
        for (int i = 1; i <= 3; i++) {
            stop(vm(i));
        }
        for (int i = 1; i <= 3; i++) {
            start(vm(i), false);
        }
        Rollout rollout = eventually(service -> service.rolloutOf("desk"));
        assertThat(rollout.version()).isEqualTo("v2");
        assertThat(rollout.phase()).isEqualTo(RolloutPhase.TRIAL);
        version = eventually(service -> service.startRollout(order));
        assertThat(version).isEqualTo("v2");
        Rollout unchanged = eventually(service -> service.rolloutOf("desk"));
        assertThat(unchanged).isEqualTo(rollout);
    }

    @Test
    public void aRolloutOfAnUnknownServiceIsRefused() throws Exception {
        for (int i = 1; i <= 3; i++) {
            start(vm(i), true);
        }
        publish("7");
        assertThat(refusal(new Ordered("nowhere", "v2", 60_000))).isEqualTo(ErrorKind.SET_INVALID);
        eventually(service -> service.startRollout(new Ordered("desk", "v2", 60_000)));
        assertThat(refusal(new Ordered("desk", "v3", 60_000)))
                .isEqualTo(ErrorKind.REVISION_CONFLICT);
    }

    /** Returns the reason for which the leader refuses an order. */
    private ErrorKind refusal(Ordered order) throws Exception {
        return eventually(
                service ->
                        service.startRollout(order)
                                .map(
                                        result ->
                                                result.fold(
                                                        version ->
                                                                Result.success(ErrorKind.INTERNAL),
                                                        error ->
                                                                error.kind() == ErrorKind.NO_LEADER
                                                                        ? Result.failure(error)
                                                                        : Result.success(
                                                                                error.kind()))));
    }

    private void start(ObjectName vm, boolean bootstrapsLog) throws Exception {
        SiteControlProcess process = new SiteControlProcess(parts(vm, bootstrapsLog));
        Context operators = mVertx.getOrCreateContext();
        await(process.start(operators));
        mRunning.put(vm, new Running(process, operators));
    }

    private Set<String> evacuated() throws Exception {
        return eventually(SiteOperatorService::evacuated);
    }

    private void stopLeader() throws Exception {
        for (ObjectName vm : List.copyOf(mRunning.keySet())) {
            if (request(mRunning.get(vm), SiteOperatorService::evacuated).isSuccess()) {
                stop(vm);
            }
        }
    }

    private void stop(ObjectName vm) throws Exception {
        await(mRunning.remove(vm).process().stop());
    }

    private SiteControlParts parts(ObjectName vm, boolean bootstrapsLog) {
        return new SiteControlParts(
                mVertx,
                vm,
                new SiteControlParts.Site(SEEDS, Set.of("nord", "sud")),
                bootstrapsLog,
                mPorts,
                mFolder.resolve(vm.value()),
                new SiteControlParts.Members(2, 1_000),
                new SiteControlParts.EngineOrderOptions(0, 10_000, true),
                new SiteControlParts.Bounds(SiteLimits.Slack.none(), new ExposureLimit(0.1, 50)),
                SiteControlProcessTest::read,
                () -> Future.succeededFuture(Result.success(List.of())),
                new NoEngines(),
                new MetricRegistry(),
                new SiteControlParts.ProcessClock(
                        MillisecondClock.monotonic(),
                        MillisecondClock.monotonic().nowMilliseconds()));
    }

    /** Reads a document whose text is its number. */
    private static Result<Catalog> read(byte[] document) {
        String text = new String(document, StandardCharsets.UTF_8);
        if (!text.matches("\\d+")) {
            return Result.failure(ErrorKind.SET_INVALID, "no number");
        }
        return Result.success(
                new Catalog(
                        Long.parseLong(text),
                        List.of(),
                        Map.of("desk", new Service("desk", 1, Optional.empty(), Optional.empty())),
                        List.of(),
                        CallerLimits.defaults()));
    }

    /** Publishes a document and checks that it was acknowledged under its own number. */
    private void publish(String text) throws Exception {
        Long number = eventually(service -> service.publish(text));
        assertThat(number).isEqualTo(Long.parseLong(text));
    }

    private String current() throws Exception {
        return eventually(SiteOperatorService::current).text();
    }

    /** Calls all VMs in turn until one succeeds. */
    private <T> T eventually(Function<SiteOperatorService, Future<Result<T>>> request)
            throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < untilNanoseconds) {
            for (Running running : List.copyOf(mRunning.values())) {
                Result<T> response = request(running, request);
                if (response.isSuccess()) {
                    return response.fold(value -> value, error -> null);
                }
            }
            await(mVertx.timer(20, TimeUnit.MILLISECONDS));
        }
        throw new AssertionError("no VM accepted the request");
    }

    private <T> Result<T> request(
            Running running, Function<SiteOperatorService, Future<Result<T>>> request)
            throws Exception {
        Promise<Result<T>> response = Promise.promise();
        Supplier<Future<Result<T>>> requesting = () -> request.apply(running.process().operators());
        running.operators().runOnContext(ignored -> requesting.get().onComplete(response));
        return await(response.future());
    }

    private static ObjectName vm(int number) {
        return ObjectName.of("127.0.0." + number);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** A site without engines. */
    private static final class NoEngines implements EngineCommands {
        @Override
        public Future<WeightsMessage> report(Endpoint engine) {
            return Future.succeededFuture(new WeightsMessage.ReportFailed(engine.incarnation(), 0));
        }

        @Override
        public Future<LoadAnswer> load(Endpoint engine, Load load) {
            return Future.succeededFuture(LoadAnswer.REFUSED);
        }
    }
}
