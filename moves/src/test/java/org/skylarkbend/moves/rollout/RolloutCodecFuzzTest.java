package org.skylarkbend.moves.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.OutcomeWindow;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of rollouts. */
public class RolloutCodecFuzzTest implements FuzzTargets {

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "rollout-messages", messages(), RolloutCodec::encode, RolloutCodec::decode),
                FuzzTarget.ofCodec(
                        "rollout-state",
                        List.of(state()),
                        RolloutCodec::encodeState,
                        RolloutCodec::decodeState),
                FuzzTarget.ofCodec(
                        "rollout-outcomes",
                        List.of(outcomes()),
                        RolloutCodec::encodeOutcomes,
                        RolloutCodec::decodeOutcomes));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<RolloutMessage> messages() {
        return List.of(
                new RolloutMessage.Ordered("s", "v2", 1_000),
                new RolloutMessage.Advanced(
                        "s", "v2", RolloutPhase.SHIFTING, Set.of("v1", "v0"), "no worse"));
    }

    private static RolloutState state() {
        Rollout rollout =
                new Rollout(
                        "s",
                        "v2",
                        5,
                        1_000,
                        RolloutPhase.TRIAL,
                        6,
                        new TreeSet<>(List.of("v0", "v1")),
                        "ordered");
        return new RolloutState(new TreeMap<>(Map.of("s", rollout)));
    }

    private static RolloutOutcomes outcomes() {
        OutcomeWindow window =
                new OutcomeWindow(ObjectName.of("r"), Outcomes.none(), Outcomes.none());
        return new RolloutOutcomes("s", "v2", 1L << 40, 1L << 41, List.of(window));
    }
}
