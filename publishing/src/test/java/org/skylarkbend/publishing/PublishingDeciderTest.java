package org.skylarkbend.publishing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.publishing.PublishResult.Accepted;
import org.skylarkbend.publishing.PublishResult.Conflict;
import org.skylarkbend.publishing.PublishResult.Refused;
import org.skylarkbend.publishing.PublishingMessage.Publish;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Checks which published sets are accepted and which results their operators get. */
public class PublishingDeciderTest {
    private final PublishingCodec mCodec = new PublishingCodec();

    @Test
    public void ofTwoSetsOnOneBaseTheFirstIsAcceptedAndTheOtherGetsAConflictThatNamesIt() {
        PublishingTransition first = apply(PublishingState.empty(), publish("a", 0, "x"));
        assertThat(first.result()).isEqualTo(new Accepted(1));
        PublishingTransition second = apply(first.state(), publish("b", 0, "y"));
        assertThat(second.result()).isEqualTo(new Conflict(1, new PublishId("a")));
        assertThat(second.state().yaml()).isEqualTo("x");
    }

    @Test
    public void aRetryGetsTheOriginalResultAlsoAfterOthersWereAccepted() {
        PublishingState state = apply(PublishingState.empty(), publish("a", 0, "x")).state();
        state = apply(state, publish("b", 0, "y")).state();
        state = apply(state, publish("c", 1, "z")).state();
        PublishingTransition retried = apply(state, publish("a", 0, "x"));
        assertThat(retried.result()).isEqualTo(new Accepted(1));
        assertThat(retried.state()).isEqualTo(state);
        assertThat(apply(state, publish("b", 0, "y")).result())
                .isEqualTo(new Conflict(1, new PublishId("a")));
    }

    @Test
    public void aPublishIdUsedForAnotherSetIsRefused() {
        PublishingState state = apply(PublishingState.empty(), publish("a", 0, "x")).state();
        PublishResult result = apply(state, publish("a", 0, "other")).result();
        assertThat(((Refused) result).error().kind()).isEqualTo(ErrorKind.BAD_REQUEST);
    }

    @Test
    public void aBaseRevisionAheadOfTheNewestIsAConflict() {
        assertThat(apply(PublishingState.empty(), publish("a", 9, "x")).result())
                .isEqualTo(new Conflict(0, new PublishId("none")));
    }

    @Test
    public void aRetryOfAForgottenPublishIsAConflictAndNeverAcceptedTwice() {
        PublishingState state = PublishingState.empty();
        for (int i = 0; i <= PublishingState.MAX_REMEMBERED; i++) {
            state = apply(state, publish("id" + i, i, "x" + i)).state();
        }
        assertThat(state.remembered()).hasSize(PublishingState.MAX_REMEMBERED);
        assertThat(apply(state, publish("id0", 0, "x0")).result())
                .isEqualTo(new Conflict(state.revision(), new PublishId("id1024")));
    }

    @Test
    public void anInvalidSetIsRefusedBeforeItReachesTheLog() {
        PublishResult result =
                PublishingDecider.check(
                                PublishingState.empty(),
                                PublishedSet.empty(),
                                publish("a", 0, "extra: 1"),
                                0)
                        .orElseThrow();
        assertThat(((Refused) result).error().kind()).isEqualTo(ErrorKind.SET_INVALID);
        assertThat(((Refused) result).error().detail()).contains("set:1: extra: unknown field");
    }

    /** A retry may arrive after the deadlines of its moves, when validation would refuse it. */
    @Test
    public void aRetryOfAnAcceptedSetIsNotCheckedAgain() {
        Publish publish = publish("a", 0, "no: set");
        PublishingState state = apply(PublishingState.empty(), publish).state();
        assertThat(PublishingDecider.check(state, PublishedSet.empty(), publish, Long.MAX_VALUE))
                .contains(new Accepted(1));
    }

    @Test
    public void underRandomRacesAndRestartsTheRevisionIncreasesByOneAndResultsAreStable() {
        SeededRuns.forEachSeed(1, 500, this::runRandomRace);
    }

    private void runRandomRace(long seed) {
        Random random = new Random(seed);
        PublishingState state = PublishingState.empty();
        Map<Publish, PublishResult> firstResults = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            long base = Math.max(0, state.revision() - random.nextInt(3));
            String id = base + "-" + random.nextInt(4);
            Publish publish = publish(id, base, "set of " + id);
            PublishingTransition next = apply(state, publish);
            assertThat(next.state().revision()).isBetween(state.revision(), state.revision() + 1);
            PublishResult first = firstResults.putIfAbsent(publish, next.result());
            assertThat(next.result()).isEqualTo(first == null ? next.result() : first);
            if (first != null) {
                assertThat(next.state()).isEqualTo(state);
            }
            state = next.state();
            assertThat(mCodec.decodeState(mCodec.encodeState(state)))
                    .isEqualTo(Result.success(state));
        }
        long accepted = firstResults.values().stream().filter(Accepted.class::isInstance).count();
        assertThat(accepted).isEqualTo(state.revision());
    }

    @Test
    public void entriesAndResultsSurviveARoundTrip() {
        Publish publish = publish("a", 3, "x: 1\n");
        assertThat(mCodec.decode(mCodec.encode(publish))).isEqualTo(Result.success(publish));
        PublishResult conflict = new Conflict(4, new PublishId("b"));
        assertThat(mCodec.decodeResult(mCodec.encodeResult(conflict)))
                .isEqualTo(Result.success(conflict));
    }

    private static PublishingTransition apply(PublishingState state, Publish publish) {
        return PublishingDecider.apply(state, publish);
    }

    private static Publish publish(String id, long baseRevision, String yaml) {
        return new Publish(new PublishId(id), baseRevision, yaml);
    }
}
