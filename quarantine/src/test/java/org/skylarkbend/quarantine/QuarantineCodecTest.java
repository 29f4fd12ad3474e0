package org.skylarkbend.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.skylarkbend.base.Result;
import org.skylarkbend.quarantine.QuarantineMessage.Imposed;
import org.skylarkbend.quarantine.QuarantineMessage.Lifted;
import org.skylarkbend.testing.ByteMutations;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests the encoding of quarantines, evidence and notices. */
public class QuarantineCodecTest {
    private static final PromptPart PART = new PromptPart("m", "p");
    private static final PartCombination COMBINATION =
            PartCombination.of(List.of(PART, new PromptPart("m", "q")));
    private static final CrashEvidence EVIDENCE =
            new CrashEvidence(
                    List.of(
                            new EndpointCrash(
                                    "e@1", 5, List.of(new SuspectCall("c", List.of(PART))))),
                    Map.of(PART, 7L),
                    Map.of("m", 3L));
    private static final QuarantineNotice NOTICE =
            new QuarantineNotice(Set.of(PART), Map.of(COMBINATION, 30_000L));
    private static final QuarantineState STATE =
            QuarantineState.empty().after(new Imposed(COMBINATION), 9);

    @Test
    public void everyMessageIsDecodedAsItWasEncoded() {
        Imposed imposed = new Imposed(COMBINATION);
        Lifted lifted = new Lifted(COMBINATION);
        assertThat(QuarantineCodec.decode(QuarantineCodec.encode(imposed)))
                .isEqualTo(Result.success(imposed));
        assertThat(QuarantineCodec.decode(QuarantineCodec.encode(lifted)))
                .isEqualTo(Result.success(lifted));
        assertThat(QuarantineCodec.decodeState(QuarantineCodec.encodeState(STATE)))
                .isEqualTo(Result.success(STATE));
        assertThat(QuarantineCodec.decodeEvidence(QuarantineCodec.encodeEvidence(EVIDENCE)))
                .isEqualTo(Result.success(EVIDENCE));
        assertThat(QuarantineCodec.decodeNotice(QuarantineCodec.encodeNotice(NOTICE)))
                .isEqualTo(Result.success(NOTICE));
    }

    @Test
    public void aMessageOfAnotherTypeIsRefused() {
        assertThat(
                        QuarantineCodec.decodeNotice(QuarantineCodec.encodeEvidence(EVIDENCE))
                                .isSuccess())
                .isFalse();
        assertThat(QuarantineCodec.decode(QuarantineCodec.encodeState(STATE)).isSuccess())
                .isFalse();
    }

    @Test
    public void damagedMessagesAreRefusedOrDecodedButNeverThrow() {
        SeededRuns.forEachSeed(
                1,
                2_000,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    QuarantineCodec.decodeEvidence(
                            ByteMutations.mutate(QuarantineCodec.encodeEvidence(EVIDENCE), random));
                    QuarantineCodec.decodeNotice(
                            ByteMutations.mutate(QuarantineCodec.encodeNotice(NOTICE), random));
                    QuarantineCodec.decodeState(
                            ByteMutations.mutate(QuarantineCodec.encodeState(STATE), random));
                    QuarantineCodec.decode(
                            ByteMutations.mutate(
                                    QuarantineCodec.encode(new Imposed(COMBINATION)), random));
                });
    }
}
