package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.LoopbackPorts;
import org.skylarkbend.wire.WireOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link AgreementTask} with real sockets and files. */
public class AgreementTaskTest {
    private static final long LIMIT_SECONDS = 60;
    private static final List<ObjectName> VMS =
            List.of(ObjectName.of("vm-1"), ObjectName.of("vm-2"), ObjectName.of("vm-3"));
    private static final AgreementOptions OPTIONS =
            new AgreementOptions(
                    50, 3_000, 6_000, false, 10, 100, 1_000_000, 10, 100_000, 8_000_000, 100_000);

    private final Map<ObjectName, Running> mRunning = new TreeMap<>();
    private final BlockingQueue<MemberId> mLeaders = new LinkedBlockingQueue<>();
    private final BlockingQueue<Map.Entry<ObjectName, Membership>> mMemberships =
            new LinkedBlockingQueue<>();
    private volatile boolean mDisksFull;
    private volatile boolean mMemoryExhausted;
    private volatile Optional<ObjectName> mFullVm = Optional.empty();
    private volatile Optional<ObjectName> mHangingVm = Optional.empty();
    private volatile CountDownLatch mHangs = new CountDownLatch(0);
    private Map<ObjectName, MemberAddress> mAddresses;
    private Path mFolder;
    private Vertx mVertx;

    /** A deployed member. */
    private record Running(AgreementTask task, CommandListMachine machine, String deploymentId) {}

    @BeforeMethod
    public void startAll() throws Exception {
        mVertx = Vertx.vertx();
        mFolder = Files.createTempDirectory("agreement");
        mAddresses = new TreeMap<>();
        for (ObjectName vm : VMS) {
            mAddresses.put(vm, new MemberAddress("127.0.0.1", LoopbackPorts.next()));
        }
        VMS.forEach(this::start);
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mMemoryExhausted = false;
        mFullVm = Optional.empty();
        mHangs.countDown();
        mRunning.clear();
        mLeaders.clear();
        await(mVertx.close());
    }

    @Test
    public void entriesAcknowledgedByAQuorumSurviveARestartOfAllMembers() throws Exception {
        AgreementTask leader = leader().task();
        for (int i = 0; i < 250; i++) {
            assertThat(await(leader.propose(CommandListMachine.bytes("c" + i))).isSuccess())
                    .isTrue();
        }
        List.copyOf(VMS).forEach(this::stop);
        VMS.forEach(this::start);
        assertThat(resultOf(leader().task(), "after")).isEqualTo("251:after");
        assertThat(leader().machine().commands())
                .startsWith("c0", "c1", "c2")
                .endsWith("c248", "c249", "after");
    }

    @Test
    public void theOtherMembersContinueWhenTheLeaderStops() throws Exception {
        Running first = leader();
        assertThat(resultOf(first.task(), "a")).isEqualTo("1:a");
        ObjectName stopped = await(first.task().status()).self().vm();
        stop(stopped);
        assertThat(resultOf(leader().task(), "b")).isEqualTo("2:b");
    }

    @Test
    public void aMemberThatIsNeededLearnsThatItRemainsBeforeItEnds() throws Exception {
        leader();
        for (Running running : mRunning.values()) {
            LeaveOutcome outcome =
                    await(running.task().leave(TimeUnit.SECONDS.toMillis(LIMIT_SECONDS)));
            assertThat(outcome).isEqualTo(LeaveOutcome.REMAINS);
        }
    }

    @Test
    public void aMemberWithoutALeaderIsNotKeptFromEnding() throws Exception {
        leader();
        stop(VMS.get(0));
        stop(VMS.get(1));
        assertThat(await(mRunning.get(VMS.get(2)).task().leave(1))).isEqualTo(LeaveOutcome.UNKNOWN);
    }

    @Test
    public void aVmWhoseDiskIsLostComesBackAsAnotherMember() throws Exception {
        assertThat(resultOf(leader().task(), "a")).isEqualTo("1:a");
        MemberId lost = await(mRunning.get(VMS.get(2)).task().status()).self();
        stop(VMS.get(2));
        Files.move(mFolder.resolve("vm-3"), mFolder.resolve("lost"));
        start(VMS.get(2));
        Membership membership = leaderStatus().membership();
        while (membership.contains(lost) || membership.voters().size() != VMS.size()) {
            assertThat(await(leader().task().confirmLeadership())).isNotNull();
            membership = leaderStatus().membership();
        }
        assertThat(await(mRunning.get(VMS.get(2)).task().status()).self()).isNotEqualTo(lost);
        assertThat(membership.onVm(VMS.get(2))).isPresent();
    }

    /** Guards against gateways that learn of new control VMs only when the leader changes. */
    @Test
    public void everyMemberIsToldOfAChangeOfTheMembersWhileTheLeaderRemains() throws Exception {
        ObjectName leader = await(leader().task().status()).self().vm();
        ObjectName replaced =
                VMS.stream().filter(vm -> !vm.equals(leader)).findFirst().orElseThrow();
        ObjectName follower =
                VMS.stream()
                        .filter(vm -> !vm.equals(leader) && !vm.equals(replaced))
                        .findFirst()
                        .orElseThrow();
        mMemberships.clear();
        stop(replaced);
        Files.move(mFolder.resolve(replaced.value()), mFolder.resolve("lost"));
        start(replaced);
        MemberId added = await(mRunning.get(replaced).task().status()).self();
        Set<ObjectName> untold = new HashSet<>(Set.of(leader, follower));
        while (!untold.isEmpty()) {
            Map.Entry<ObjectName, Membership> next =
                    mMemberships.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertThat(next).as("a change at " + untold).isNotNull();
            if (next.getValue().contains(added)) {
                untold.remove(next.getKey());
            }
        }
        assertThat(await(leader().task().status()).self().vm()).isEqualTo(leader);
    }

    @Test
    public void aFullDiskFailsProposalsButNotReadsUntilItHasSpaceAgain() throws Exception {
        Running leader = leader();
        assertThat(resultOf(leader.task(), "a")).isEqualTo("1:a");
        mDisksFull = true;
        assertThat(resultOf(leader.task(), "b")).isEqualTo("storage_failed");
        assertThat(await(leader.task().confirmLeadership()).isSuccess()).isTrue();
        mDisksFull = false;
        assertThat(resultOf(leader().task(), "c")).isEqualTo("2:c");
    }

    /** Guards against a leader that refuses all changes while the others could accept them. */
    @Test
    public void theOthersAcceptProposalsWhenOnlyTheDiskOfTheLeaderIsFull() throws Exception {
        Running first = leader();
        assertThat(resultOf(first.task(), "a")).isEqualTo("1:a");
        MemberId full = await(first.task().status()).self();
        mLeaders.clear();
        mFullVm = Optional.of(full.vm());
        assertThat(resultOf(first.task(), "b")).isEqualTo("storage_failed");
        assertThat(mLeaders.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
                .as("the leader after " + full)
                .isNotNull()
                .isNotEqualTo(full);
        assertThat(resultOf(leader().task(), "c")).isEqualTo("2:c");
        mFullVm = Optional.empty();
        assertThat(resultOf(leader().task(), "d")).isEqualTo("3:d");
    }

    /** Guards against changes that all wait for the disk of the leader, and a member that stops. */
    @Test
    public void theOthersAcceptProposalsWhileTheDiskOfTheLeaderHangs() throws Exception {
        Running first = leader();
        assertThat(resultOf(first.task(), "a")).isEqualTo("1:a");
        MemberId hanging = await(first.task().status()).self();
        mLeaders.clear();
        mHangs = new CountDownLatch(1);
        mHangingVm = Optional.of(hanging.vm());
        Future<Result<byte[]>> waiting = first.task().propose(CommandListMachine.bytes("b"));
        assertThat(mLeaders.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
                .isNotNull()
                .isNotEqualTo(hanging);
        assertThat(textOf(waiting)).isEqualTo("commit_unknown");
        assertThat(resultOf(leader().task(), "c")).isEqualTo("2:c");
        assertThat(await(first.task().status()).role()).isNotEqualTo(MemberRole.LEADER);
        mHangingVm = Optional.empty();
        mHangs.countDown();
        assertThat(resultOf(leader().task(), "d")).isEqualTo("3:d");
    }

    /** Guards against exhausted memory that is taken for a failed disk. */
    @Test
    public void anErrorWhileWritingIsReportedAndNotTakenForAFailedDisk() throws Exception {
        BlockingQueue<Throwable> errors = new LinkedBlockingQueue<>();
        mVertx.exceptionHandler(errors::add);
        Running leader = leader();
        mMemoryExhausted = true;
        Future<Result<byte[]>> proposal = leader.task().propose(CommandListMachine.bytes("a"));
        assertThat(errors.poll(LIMIT_SECONDS, TimeUnit.SECONDS))
                .isInstanceOf(OutOfMemoryError.class);
        assertThat(proposal.isComplete() && !proposal.result().isSuccess()).isFalse();
    }

    @Test
    public void manyProposalsShareASync() throws Exception {
        AgreementTask leader = leader().task();
        List<Future<Result<byte[]>>> results =
                IntStream.range(0, 2_000)
                        .mapToObj(i -> leader.propose(CommandListMachine.bytes("c" + i)))
                        .toList();
        for (Future<Result<byte[]>> result : results) {
            assertThat(await(result).isSuccess()).isTrue();
        }
        assertThat(leader().machine().commands()).hasSize(results.size());
    }

    private void start(ObjectName vm) {
        CommandListMachine machine = new CommandListMachine();
        AgreementStorage storage =
                AgreementStorage.open(
                                mFolder.resolve(vm.value()),
                                vm,
                                () -> ThreadLocalRandom.current().nextLong(Long.MAX_VALUE),
                                (channel, bytes) -> writeUnlessFull(vm, channel, bytes),
                                true)
                        .fold(
                                opened -> opened,
                                error -> {
                                    throw new AssertionError(error.detail());
                                });
        AgreementTask task =
                new AgreementTask(
                        vm,
                        MemberDirectory.fixed(mAddresses),
                        OPTIONS,
                        WireOptions.plain(),
                        storage,
                        machine,
                        new AgreementTask.Listeners(
                                this::recordLeader,
                                membership -> mMemberships.add(Map.entry(vm, membership))),
                        MillisecondClock.monotonic(),
                        MillisecondClock.monotonic().nowMilliseconds(),
                        bound -> ThreadLocalRandom.current().nextLong(bound),
                        new MetricRegistry());
        mRunning.put(vm, new Running(task, machine, await(mVertx.deployVerticle(task))));
    }

    private void writeUnlessFull(ObjectName vm, FileChannel channel, ByteBuffer bytes)
            throws IOException {
        if (mDisksFull || mFullVm.equals(Optional.of(vm))) {
            throw new IOException("No space left on device");
        }
        if (mHangingVm.equals(Optional.of(vm))) {
            await(mHangs);
        }
        if (mMemoryExhausted) {
            throw new OutOfMemoryError("planted");
        }
        FileOperations.direct().write(channel, bytes);
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void stop(ObjectName vm) {
        await(mVertx.undeploy(mRunning.remove(vm).deploymentId()));
    }

    private void recordLeader(AgreementStatus status) {
        if (status.role() == MemberRole.LEADER) {
            mLeaders.add(status.self());
        }
    }

    /** Waits for a member that confirms its leadership and returns it. */
    private Running leader() throws InterruptedException {
        List<MemberId> previousLeaders = new ArrayList<>();
        while (true) {
            for (Running running : mRunning.values()) {
                if (await(running.task().confirmLeadership()).isSuccess()) {
                    return running;
                }
            }
            MemberId elected = mLeaders.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertThat(elected).as("a leader after " + previousLeaders).isNotNull();
            previousLeaders.add(elected);
        }
    }

    private AgreementStatus leaderStatus() throws InterruptedException {
        return await(leader().task().status());
    }

    private String resultOf(AgreementTask task, String command) {
        return textOf(task.propose(CommandListMachine.bytes(command)));
    }

    private static String textOf(Future<Result<byte[]>> result) {
        return await(result).fold(String::new, error -> error.kind().code());
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
