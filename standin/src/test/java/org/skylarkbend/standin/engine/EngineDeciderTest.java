package org.skylarkbend.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.skylarkbend.standin.engine.EngineEffect.CacheEventKind;
import org.skylarkbend.standin.engine.EngineEffect.OrderOutcome;
import org.skylarkbend.standin.engine.EngineEffect.RespondToOrder;
import org.skylarkbend.standin.engine.EngineEffect.SendEmpty;
import org.skylarkbend.standin.engine.EngineEffect.SendEnd;
import org.skylarkbend.standin.engine.EngineEffect.SendEvent;
import org.skylarkbend.standin.engine.EngineEffect.SendFailure;
import org.skylarkbend.standin.engine.EngineEffect.SendToken;
import org.skylarkbend.standin.engine.EngineEffect.WakeAt;
import org.skylarkbend.standin.engine.EngineMessage.ChangeFaults;
import org.skylarkbend.standin.engine.EngineMessage.Order;
import org.skylarkbend.standin.engine.EngineMessage.OrderKind;
import org.skylarkbend.standin.engine.EngineMessage.Resume;
import org.skylarkbend.standin.engine.EngineMessage.Submit;
import org.skylarkbend.standin.engine.EngineMessage.Wake;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the decisions of the fake engine with simulated time. */
public class EngineDeciderTest {
    private static final int CACHE_BLOCKS = 4;
    private static final long LOAD_MILLISECONDS = 500;

    private EngineDecider mEngine;
    private List<EngineEffect> mEffects;
    private long mNowMilliseconds;

    @BeforeMethod
    public void startEngine() {
        EngineOptions options =
                new EngineOptions(
                        List.of("v1"), CACHE_BLOCKS, 1, 100, 5, LOAD_MILLISECONDS, true, 0, 0);
        mEngine = new EngineDecider(options, 7);
        mEffects = new ArrayList<>();
        mNowMilliseconds = 1_000;
    }

    @Test
    public void theSecondRequestOfAScopeFindsItsBlocksAndOtherScopesFindNone() {
        runToEnd(request("a", "scope-1", 0, 1, 2));
        runToEnd(request("b", "scope-1", 0, 1, 2, 3));
        runToEnd(request("c", "scope-2", 0, 1, 2));
        assertThat(cachedTokensOf("a")).isZero();
        assertThat(cachedTokensOf("b")).isEqualTo(2 * PromptBlocks.BLOCK_TOKENS);
        assertThat(cachedTokensOf("c")).isZero();
    }

    @Test
    public void theBlocksUnusedForLongestGoFirstAndAreReported() {
        runToEnd(request("a", "s", 0, 1, 2));
        runToEnd(request("b", "s", 0, 3, 4, 5));
        assertThat(removedBlocks()).containsExactly(2L);
        runToEnd(request("c", "s", 0, 1, 2));
        assertThat(cachedTokensOf("c")).isEqualTo(PromptBlocks.BLOCK_TOKENS);
    }

    @Test
    public void uncachedTokensCostTimeAndCachedOnesDoNot() {
        long coldMilliseconds = runToEnd(request("a", "s", 0, 1, 2));
        long warmMilliseconds = runToEnd(request("b", "s", 0, 1, 2));
        assertThat(coldMilliseconds - warmMilliseconds).isEqualTo(40);
    }

    @Test
    public void theLowestPriorityNumberIsServedFirst() {
        send(new Submit(request("running", "s", 5, 1)));
        send(new Submit(request("later", "s", 5, 2)));
        send(new Submit(request("first", "s", 0, 3)));
        runUntilIdle();
        assertThat(ends().map(SendEnd::attempt)).containsExactly("running", "first", "later");
    }

    @Test
    public void aResumedStreamGoesOnBehindThePosition() {
        runToEnd(request("a", "s", 0, 1));
        mEffects.clear();
        send(new Resume("a", 1));
        assertThat(tokens()).extracting(SendToken::position).containsExactly(2, 3);
        assertThat(ends()).hasSize(1);
    }

    @Test
    public void aStreamThatNobodyKnowsIsNotFound() {
        send(new Resume("unknown", 0));
        assertThat(mEffects).contains(new SendFailure("unknown", 404));
    }

    @Test
    public void aCrashedEngineRespondsEmptyAndForgetsItsCache() {
        runToEnd(request("a", "s", 0, 1, 2));
        send(new ChangeFaults(new EngineFaults(true, false, false, false, 1, 0, 0, "", 0)));
        send(new Submit(request("b", "s", 0, 1, 2)));
        assertThat(mEffects).contains(new SendEmpty("b"));
        send(new ChangeFaults(EngineFaults.none()));
        runToEnd(request("c", "s", 0, 1, 2));
        assertThat(cachedTokensOf("c")).isZero();
        assertThat(mEngine.view(mNowMilliseconds).incarnation()).isEqualTo(8);
    }

    @Test
    public void everyThirdEventIsLostWhenToldSo() {
        send(new ChangeFaults(new EngineFaults(false, false, false, false, 1, 3, 0, "", 0)));
        for (int i = 1; i <= CACHE_BLOCKS; i++) {
            runToEnd(request("a" + i, "s" + i, 0, i));
        }
        assertThat(events().map(event -> event.event().sequence())).containsExactly(1L, 2L, 4L);
    }

    @Test
    public void anOrderWithAnOldFencingNumberIsRefused() {
        send(new Order(5, OrderKind.LOAD_VERSION, "v2"));
        send(new Order(4, OrderKind.ACTIVATE_VERSION, "v1"));
        assertThat(mEffects).contains(new RespondToOrder(OrderOutcome.OLD_FENCING_NUMBER, 5));
    }

    @Test
    public void aVersionServesOnlyOnceItIsLoaded() {
        send(new Order(5, OrderKind.LOAD_VERSION, "v2"));
        send(new Order(5, OrderKind.ACTIVATE_VERSION, "v2"));
        assertThat(mEffects).contains(new RespondToOrder(OrderOutcome.NOT_LOADED, 5));
        mNowMilliseconds += LOAD_MILLISECONDS;
        send(new Order(5, OrderKind.ACTIVATE_VERSION, "v2"));
        runToEnd(request("a", "s", 0, 1));
        assertThat(ends().map(SendEnd::version)).containsExactly("v2");
    }

    private EngineRequest request(String attempt, String scope, int priority, long... hashes) {
        List<Long> blocks = LongStream.of(hashes).boxed().toList();
        PromptBlocks prompt = new PromptBlocks(blocks, blocks.size() * PromptBlocks.BLOCK_TOKENS);
        return new EngineRequest(attempt, scope, prompt, "opening", 3, priority);
    }

    private void send(EngineMessage message) {
        mEffects.addAll(mEngine.decide(message, mNowMilliseconds));
    }

    private long runToEnd(EngineRequest request) {
        long startMilliseconds = mNowMilliseconds;
        send(new Submit(request));
        runUntilIdle();
        return mNowMilliseconds - startMilliseconds;
    }

    private void runUntilIdle() {
        while (mEffects.get(mEffects.size() - 1) instanceof WakeAt wake) {
            mNowMilliseconds = wake.atMilliseconds();
            mEffects.remove(mEffects.size() - 1);
            send(new Wake());
        }
    }

    private int cachedTokensOf(String attempt) {
        return ends().filter(end -> end.attempt().equals(attempt))
                .findFirst()
                .orElseThrow()
                .cachedTokens();
    }

    private List<Long> removedBlocks() {
        return events().filter(event -> event.event().kind() == CacheEventKind.REMOVED)
                .flatMap(event -> event.event().blocks().stream())
                .toList();
    }

    private java.util.stream.Stream<SendEnd> ends() {
        return mEffects.stream().filter(SendEnd.class::isInstance).map(SendEnd.class::cast);
    }

    private java.util.stream.Stream<SendEvent> events() {
        return mEffects.stream().filter(SendEvent.class::isInstance).map(SendEvent.class::cast);
    }

    private List<SendToken> tokens() {
        return mEffects.stream()
                .filter(SendToken.class::isInstance)
                .map(SendToken.class::cast)
                .toList();
    }
}
