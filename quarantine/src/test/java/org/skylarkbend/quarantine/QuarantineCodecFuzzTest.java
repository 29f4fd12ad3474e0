package org.skylarkbend.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.quarantine.QuarantineMessage.Imposed;
import org.skylarkbend.quarantine.QuarantineMessage.Lifted;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of quarantines. */
public class QuarantineCodecFuzzTest implements FuzzTargets {
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

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "quarantine-messages",
                        List.of(new Imposed(COMBINATION), new Lifted(COMBINATION)),
                        QuarantineCodec::encode,
                        QuarantineCodec::decode),
                FuzzTarget.ofCodec(
                        "quarantine-state",
                        List.of(QuarantineState.empty().after(new Imposed(COMBINATION), 9)),
                        QuarantineCodec::encodeState,
                        QuarantineCodec::decodeState),
                FuzzTarget.ofCodec(
                        "crash-evidence",
                        List.of(EVIDENCE),
                        QuarantineCodec::encodeEvidence,
                        QuarantineCodec::decodeEvidence),
                FuzzTarget.ofCodec(
                        "quarantine-notice",
                        List.of(new QuarantineNotice(Set.of(PART), Map.of(COMBINATION, 30_000L))),
                        QuarantineCodec::encodeNotice,
                        QuarantineCodec::decodeNotice));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }
}
