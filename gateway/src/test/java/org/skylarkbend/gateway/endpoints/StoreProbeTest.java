package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.catalog.Service.Store;
import org.skylarkbend.exchange.EndpointDialer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests whether engines are sent to a store that closes, falls silent or was not heard of long. */
public class StoreProbeTest {
    private static final String HOST = "127.0.0.1";
    private static final long WAIT_LIMIT_SECONDS = 30;
    private static final long POLL_MILLISECONDS = 10;
    private static final long PAUSE_MILLISECONDS = 60_000;
    private static final int CHECKS = 5;
    private static final int BACKLOG = 10;

    private final AtomicLong mNowMilliseconds = new AtomicLong();
    private Vertx mVertx;
    private Context mTask;
    private EndpointSelector mSelector;
    private StoreProbe mProbe;

    @BeforeMethod
    public void createProbe() throws Exception {
        mVertx = Vertx.vertx();
        mTask = mVertx.getOrCreateContext();
        mSelector = new EndpointSelector(() -> 0.5, PAUSE_MILLISECONDS, "z");
        mProbe =
                new StoreProbe(
                        EndpointDialer.direct(mVertx, 300), mSelector, mNowMilliseconds::get);
        onTask(
                () -> {
                    Endpoint engine =
                            new Endpoint(
                                    "a", "desk", HOST, 1, "z", "v1", 6, false, 1, Map.of("m", 1L));
                    mSelector.replace(new Endpoints(List.of(engine), Set.of()), 0);
                    return engine;
                });
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    /** Guards against engines that wait for a store whose machine has fallen silent. */
    @Test
    public void aStoreThatFallsSilentWithoutClosingItsConnectionIsNamedNoMore() throws Exception {
        ServerSocket store = new ServerSocket(0, BACKLOG, InetAddress.getByName(HOST));
        changeStore(store.getLocalPort());
        try (Socket open = store.accept()) {
            awaitNamed(true);
            store.close();
            awaitNamed(false);
            assertThat(open.isClosed()).isFalse();
        }
    }

    /** Guards against a gateway that acts on what it knew of the store before a pause. */
    @Test
    public void afterAPauseNoStoreIsNamedUntilItWasReachedAgain() throws Exception {
        int port = listen(ConcurrentHashMap.newKeySet());
        changeStore(port);
        awaitNamed(true);
        mNowMilliseconds.addAndGet(PAUSE_MILLISECONDS);
        assertThat(onTask(this::named)).isEmpty();
        awaitNamed(true);
    }

    @Test
    public void aStoreThatAcceptsConnectionsIsNamedAllTheTimeAndKeepsOneOfThem() throws Exception {
        Set<NetSocket> open = ConcurrentHashMap.newKeySet();
        changeStore(listen(open));
        awaitNamed(true);
        for (int i = 0; i < CHECKS; i++) {
            mNowMilliseconds.addAndGet(StoreProbe.CHECK_INTERVAL_MILLISECONDS);
            NetSocket before = onlyOne(open);
            onTask(this::check);
            assertThat(onTask(this::named)).isPresent();
            awaitUntil(() -> !open.contains(before) && open.size() == 1);
            assertThat(onTask(this::named)).isPresent();
        }
    }

    private NetSocket onlyOne(Set<NetSocket> open) throws Exception {
        awaitUntil(() -> open.size() == 1);
        return open.iterator().next();
    }

    private int listen(Set<NetSocket> open) throws Exception {
        return await(
                        mVertx.createNetServer()
                                .connectHandler(
                                        socket -> {
                                            open.add(socket);
                                            socket.closeHandler(ignored -> open.remove(socket));
                                        })
                                .listen(0, HOST))
                .actualPort();
    }

    private void changeStore(int port) throws Exception {
        onTask(
                () -> {
                    mProbe.changeStore(Optional.of(new Store(HOST, port)));
                    return true;
                });
    }

    /** Lets time pass and checks the store, until engines are sent to it or are not. */
    private void awaitNamed(boolean isNamed) throws Exception {
        awaitUntil(
                () -> {
                    mNowMilliseconds.addAndGet(POLL_MILLISECONDS);
                    onTask(this::check);
                    return onTask(this::named).isPresent() == isNamed;
                });
    }

    private boolean check() {
        mProbe.connect();
        return true;
    }

    /** Returns the store to which the engine of the next call is sent. */
    private Optional<String> named() {
        List<Prompt.Part> parts =
                List.of(new Prompt.Part("shared", 6_300), new Prompt.Part("own", 500));
        Prompt prompt = new Prompt("m", parts, 6_800, 20);
        return mSelector
                .choose("desk", prompt, "s", PriorAttempts.none(), mNowMilliseconds.get())
                .orElseThrow()
                .store();
    }

    private void awaitUntil(Callable<Boolean> condition) throws Exception {
        long untilNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (!condition.call()) {
            assertThat(System.nanoTime()).isLessThan(untilNanoseconds);
            await(mVertx.timer(POLL_MILLISECONDS, TimeUnit.MILLISECONDS));
        }
    }

    private <T> T onTask(Callable<T> work) throws Exception {
        Promise<T> done = Promise.promise();
        mTask.runOnContext(
                ignored -> {
                    try {
                        done.complete(work.call());
                    } catch (Exception e) {
                        done.fail(e);
                    }
                });
        return await(done.future());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
