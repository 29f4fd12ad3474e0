package org.skylarkbend.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.skylarkbend.quarantine.QuarantineMessage.Imposed;
import org.skylarkbend.quarantine.QuarantineMessage.Lifted;
import org.testng.annotations.Test;

/** Tests the replicated quarantines. */
public class QuarantineStateTest {
    private static final PartCombination PART = combination("p");

    @Test
    public void aQuarantineThatIsImposedAgainLastsTwiceAsLong() {
        QuarantineState state = QuarantineState.empty().after(new Imposed(PART), 1);
        long firstMilliseconds = durationMilliseconds(state);
        state = state.after(new Lifted(PART), 2).after(new Imposed(PART), 3);
        assertThat(durationMilliseconds(state)).isEqualTo(2 * firstMilliseconds);
    }

    @Test
    public void aQuarantineNeverLastsLongerThanAnHour() {
        QuarantineState state = QuarantineState.empty();
        for (int i = 0; i < 100; i++) {
            state = state.after(new Imposed(PART), i).after(new Lifted(PART), i);
        }
        assertThat(durationMilliseconds(state)).isEqualTo(3_600_000);
    }

    @Test
    public void aRepeatedChangeHasNoEffect() {
        QuarantineState state = QuarantineState.empty().after(new Imposed(PART), 1);
        assertThat(state.after(new Imposed(PART), 2)).isEqualTo(state);
        assertThat(QuarantineState.empty().after(new Lifted(PART), 1))
                .isEqualTo(QuarantineState.empty());
    }

    @Test
    public void aLiftedQuarantineIsRememberedButNotInForce() {
        QuarantineState state =
                QuarantineState.empty().after(new Imposed(PART), 1).after(new Lifted(PART), 2);
        assertThat(state.inForce()).isEmpty();
        assertThat(state.of(PART)).isPresent();
    }

    @Test
    public void theNumberOfQuarantinesIsBoundedAndThoseInForceAreKeptLongest() {
        QuarantineState state = QuarantineState.empty().after(new Imposed(PART), 0);
        for (int i = 0; i < 2 * QuarantineState.MAX_COMBINATIONS; i++) {
            PartCombination other = combination("other-" + i);
            state = state.after(new Imposed(other), i).after(new Lifted(other), i);
        }
        assertThat(state.combinations()).hasSize(QuarantineState.MAX_COMBINATIONS);
        assertThat(state.inForce()).containsExactly(PART);
    }

    @Test
    public void aPromptIsRefusedOnlyIfItContainsAllPartsOfACombination() {
        PartCombination both = combination("p", "q");
        assertThat(both.isIn(List.of(part("q"), part("r"), part("p")))).isTrue();
        assertThat(both.isIn(List.of(part("p"), part("r")))).isFalse();
        assertThat(both.isIn(List.of(new PromptPart("n", "p"), part("q")))).isFalse();
    }

    private static long durationMilliseconds(QuarantineState state) {
        return state.of(PART).orElseThrow().durationMilliseconds();
    }

    private static PartCombination combination(String... ids) {
        return PartCombination.of(
                java.util.Arrays.stream(ids).map(QuarantineStateTest::part).toList());
    }

    private static PromptPart part(String id) {
        return new PromptPart("m", id);
    }
}
