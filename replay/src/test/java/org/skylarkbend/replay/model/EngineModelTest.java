package org.skylarkbend.replay.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.BlockHashes;
import org.skylarkbend.placement.CacheEventKind;
import org.skylarkbend.placement.CacheScope;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementRequest;
import org.skylarkbend.placement.PrefixChain;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the cache, the order of service and the crash of the engine model. */
public class EngineModelTest {
    private static final ModelParameters PARAMETERS =
            new ModelParameters(4, 20_000, 40, 2, 0, 20_000, 1_000, 500, 1, 0, 500);

    private EventLoop mLoop;
    private List<CacheEvent> mEvents;
    private EngineModel mEngine;

    @BeforeMethod
    public void startAnEngine() {
        mLoop = new EventLoop();
        mEvents = new ArrayList<>();
        ObjectName dataCentre = ObjectName.of("dc-1");
        mEngine = new EngineModel(ObjectName.of("e1"), dataCentre, PARAMETERS, mLoop, mEvents::add);
    }

    @Test
    public void aRepeatedPromptIsComputedOnceAndAFullCacheDropsTheOldest() {
        List<String> log = new ArrayList<>();
        mEngine.submit(job("first", 0, log, 1, 2, 3));
        mLoop.runUntil(300);
        mEngine.submit(job("again", 0, log, 1, 2, 3));
        mLoop.runUntil(300);
        mEngine.submit(job("other", 0, log, 7, 8));
        mLoop.runUntil(60_000);
        assertThat(log)
                .containsExactly("first@300 cached 0", "again@300 cached 3", "other@4500 cached 0");
        assertThat(mEvents).extracting(CacheEvent::kind).contains(CacheEventKind.REMOVED);
        CacheEvent removed = mEvents.get(mEvents.size() - 1);
        assertThat(removed.blocks()).isEqualTo(BlockHashes.of(3));
    }

    @Test
    public void aRequestOfLowerRankOvertakesALongPromptAfterItsChunk() {
        List<String> log = new ArrayList<>();
        mEngine.submit(job("long", 50, log, 1, 2, 3, 4));
        mLoop.runUntil(10);
        mEngine.submit(job("urgent", 0, log, 9));
        mLoop.runUntil(60_000);
        assertThat(log).containsExactly("urgent@200 cached 0", "long@500 cached 0");
    }

    @Test
    public void aCrashFailsAllRequestsAndEmptiesTheCache() {
        List<String> log = new ArrayList<>();
        mEngine.submit(job("lost", 0, log, 1, 2));
        mLoop.runUntil(250);
        mEngine.crash();
        mEngine.start();
        mEngine.submit(job("next", 0, log, 1, 2));
        mLoop.runUntil(60_000);
        assertThat(log).containsExactly("lost@200 cached 0", "lost failed", "next@450 cached 0");
        assertThat(mEngine.incarnation().number()).isEqualTo(2);
    }

    private EngineJob job(String name, long rank, List<String> log, long... blocks) {
        PrefixChain chain =
                new PrefixChain(BlockHashes.of(blocks), PrefixChain.tokensOf(blocks.length));
        CacheScope scope = CacheScope.of(ObjectName.of("c1"), "w", "");
        PlacementRequest request =
                new PlacementRequest(
                        ReplayRun.POOL, ReplayRun.VERSION, scope, chain, 0, 100, Set.of());
        return new EngineJob(request, rank, listener(name, log));
    }

    private EngineListener listener(String name, List<String> log) {
        return new EngineListener() {
            @Override
            public void firstToken(int cachedBlocks) {
                log.add(name + "@" + mLoop.nowMilliseconds() + " cached " + cachedBlocks);
            }

            @Override
            public void finished(int cachedBlocks) {
                assertThat(cachedBlocks).isNotNegative();
            }

            @Override
            public void failed() {
                log.add(name + " failed");
            }
        };
    }
}
