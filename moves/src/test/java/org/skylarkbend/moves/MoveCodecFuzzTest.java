package org.skylarkbend.moves;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.publishing.TrafficMove;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codecs of moves. */
public class MoveCodecFuzzTest implements FuzzTargets {
    private static final ObjectName NAME = ObjectName.of("a");
    private static final MovePlan PLAN =
            new MovePlan(
                    new TrafficMove(NAME, NAME, NAME, NAME, 5, 0.05, 6),
                    List.of(NAME),
                    7,
                    List.of(NAME));

    private final MoveCodec mCodec = new MoveCodec();
    private final MoveStateCodec mStateCodec = new MoveStateCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("move-messages", messages(), mCodec::encode, mCodec::decode),
                FuzzTarget.ofCodec(
                        "move-state", List.of(state()), mStateCodec::encode, mStateCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<MoveMessage> messages() {
        return List.of(
                new MoveMessage.PlansPublished(List.of(PLAN)),
                new MoveMessage.OutcomesReported(
                        List.of(new OutcomeWindow(NAME, Outcomes.none(), Outcomes.none()))),
                new MoveMessage.Loaded(NAME, NAME),
                new MoveMessage.LoadFailed(NAME),
                new MoveMessage.EndpointsChanged(NAME, List.of(NAME)),
                new MoveMessage.Restarted(NAME),
                new MoveMessage.Tick());
    }

    private static MoveState state() {
        SequentialTest test = new SequentialTest(3, List.of(0.5, -1.5), 0.25, 2.0);
        MoveProgress progress =
                new MoveProgress(
                        PLAN,
                        MovePhase.MOVING,
                        "on trial",
                        0.05,
                        new TreeSet<>(List.of(NAME)),
                        new TreeSet<>(List.of(ObjectName.of("b"))),
                        new VersionEvaluation(test, test, test, 8, 9),
                        10,
                        11,
                        12);
        return new MoveState(new TreeMap<>(Map.of(NAME, progress)));
    }
}
