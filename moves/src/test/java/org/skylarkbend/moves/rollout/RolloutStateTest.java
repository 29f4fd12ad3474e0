package org.skylarkbend.moves.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.moves.rollout.RolloutMessage.Advanced;
import org.skylarkbend.moves.rollout.RolloutMessage.Ordered;
import org.testng.annotations.Test;

/** Tests how the replicated rollouts change. */
public class RolloutStateTest {
    private static final Ordered ORDER = new Ordered("desk", "v2", 14_000);

    @Test
    public void anOrderThatIsSentAgainChangesNothing() {
        RolloutState ordered = after(RolloutState.empty(), ORDER, 100);
        assertThat(after(ordered, ORDER, 900)).isEqualTo(ordered);
        RolloutState completed = after(ordered, advance("v2", RolloutPhase.COMPLETED), 5_000);
        assertThat(after(completed, ORDER, 6_000)).isEqualTo(completed);
    }

    @Test
    public void anOrderOfTheSameVersionLongAfterItsRollbackStartsAgain() {
        RolloutState ordered = after(RolloutState.empty(), ORDER, 100);
        RolloutState undone = after(ordered, advance("v2", RolloutPhase.ROLLED_BACK), 5_000);
        RolloutState again = after(undone, ORDER, 5_000 + RolloutState.REPEAT_MILLISECONDS);
        assertThat(again.of("desk").orElseThrow().phase()).isEqualTo(RolloutPhase.TRIAL);
    }

    @Test
    public void anotherVersionIsRefusedUntilTheRolloutHasEnded() {
        RolloutState ordered = after(RolloutState.empty(), ORDER, 100);
        Ordered other = new Ordered("desk", "v3", 14_000);
        Result<RolloutState> refused = ordered.after(other, 200);
        ErrorKind kind = refused.fold(state -> null, error -> error.kind());
        assertThat(kind).isEqualTo(ErrorKind.REVISION_CONFLICT);
        RolloutState completed = after(ordered, advance("v2", RolloutPhase.COMPLETED), 5_000);
        assertThat(after(completed, other, 6_000).of("desk").orElseThrow().version())
                .isEqualTo("v3");
    }

    @Test
    public void twoServicesAreRolledOutIndependently() {
        RolloutState one = after(RolloutState.empty(), ORDER, 100);
        RolloutState two = after(one, new Ordered("hub", "v2", 9_000), 200);
        RolloutState done = after(two, advance("v2", RolloutPhase.COMPLETED), 300);
        assertThat(done.of("desk").orElseThrow().phase()).isEqualTo(RolloutPhase.COMPLETED);
        assertThat(done.of("hub").orElseThrow().phase()).isEqualTo(RolloutPhase.TRIAL);
    }

    @Test
    public void aDecisionOnAnEarlierVersionOrOnAnEndedRolloutChangesNothing() {
        RolloutState ordered = after(RolloutState.empty(), ORDER, 100);
        assertThat(after(ordered, advance("v1", RolloutPhase.COMPLETED), 200)).isEqualTo(ordered);
        RolloutState undone = after(ordered, advance("v2", RolloutPhase.ROLLED_BACK), 300);
        assertThat(after(undone, advance("v2", RolloutPhase.COMPLETED), 400)).isEqualTo(undone);
    }

    @Test
    public void messagesAndStatesAreReadAsTheyWereWritten() {
        RolloutState state =
                after(
                        after(RolloutState.empty(), ORDER, 100),
                        new Advanced(
                                "desk", "v2", RolloutPhase.ROLLED_BACK, Set.of("v2"), "errors"),
                        200);
        assertThat(RolloutCodec.decodeState(RolloutCodec.encodeState(state)))
                .isEqualTo(Result.success(state));
        assertThat(RolloutCodec.decode(RolloutCodec.encode(ORDER)))
                .isEqualTo(Result.success(ORDER));
        Advanced advance = advance("v2", RolloutPhase.SHIFTING);
        assertThat(RolloutCodec.decode(RolloutCodec.encode(advance)))
                .isEqualTo(Result.success(advance));
        byte[] cut = java.util.Arrays.copyOf(RolloutCodec.encodeState(state), 5);
        assertThat(RolloutCodec.decodeState(cut).isSuccess()).isFalse();
    }

    private static Advanced advance(String version, RolloutPhase phase) {
        return new Advanced("desk", version, phase, Set.of("v1"), "");
    }

    private static RolloutState after(
            RolloutState state, RolloutMessage message, long nowMilliseconds) {
        return state.after(message, nowMilliseconds)
                .fold(
                        next -> next,
                        error -> {
                            throw new AssertionError(error.detail());
                        });
    }
}
