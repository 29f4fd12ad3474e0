package org.skylarkbend.moves;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.publishing.TrafficMove;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests of the encoding of move messages. */
public class MoveCodecTest {
    private static final ObjectName NAME = ObjectName.of("a");
    private static final TrafficMove MOVE = new TrafficMove(NAME, NAME, NAME, NAME, 5, 0.05, 6);
    private static final List<MoveMessage> MESSAGES =
            List.of(
                    new MoveMessage.PlansPublished(
                            List.of(new MovePlan(MOVE, List.of(NAME), 7, List.of(NAME)))),
                    new MoveMessage.OutcomesReported(
                            List.of(new OutcomeWindow(NAME, outcomes(9, 1), Outcomes.none()))),
                    new MoveMessage.Loaded(NAME, NAME),
                    new MoveMessage.LoadFailed(NAME),
                    new MoveMessage.EndpointsChanged(NAME, List.of(NAME)),
                    new MoveMessage.Restarted(NAME),
                    new MoveMessage.Tick());

    private final MoveCodec mCodec = new MoveCodec();

    @Test
    public void everyMessageComesBackAsItWas() {
        for (MoveMessage message : MESSAGES) {
            assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(Result.success(message));
        }
    }

    @Test
    public void garbledBytesAreAFailureAndNoException() {
        SeededRuns.forEachSeed(
                1,
                2_000,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    byte[] bytes = mCodec.encode(MESSAGES.get(random.nextInt(MESSAGES.size())));
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                    mCodec.decode(bytes)
                            .match(
                                    message -> assertThat(message).isNotNull(),
                                    error ->
                                            assertThat(error.kind())
                                                    .isEqualTo(ErrorKind.FRAME_INVALID));
                });
    }

    private static Outcomes outcomes(int requests, int errors) {
        int counts = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS.size() + 1;
        return new Outcomes(requests, errors, 0, Collections.nCopies(counts, 0));
    }
}
