package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.RunState;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests retry decisions and the resulting errors. */
public class AttemptPolicyTest {
    @Test
    public void aCallThatMayRunOnceIsNeverSentAgainWhenItMayHaveRun() {
        Route once = Routes.of(CallKind.ONCE, 3, false);
        Route stream = Routes.of(CallKind.STREAM, 3, false);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            boolean again = !outcome.mayHaveRun();
            assertThat(AttemptPolicy.mayRetry(once, 1, 0, outcome)).isEqualTo(again);
            assertThat(AttemptPolicy.mayRetry(stream, 1, 0, outcome)).isEqualTo(again);
        }
    }

    @Test
    public void repeatableCallsAndResumableStreamsAreSentAgain() {
        Route repeatable = Routes.of(CallKind.REPEATABLE, 2, false);
        Route stream = Routes.of(CallKind.STREAM, 2, true);
        assertThat(AttemptPolicy.mayRetry(repeatable, 1, 0, AttemptOutcome.BROKEN)).isTrue();
        assertThat(AttemptPolicy.mayRetry(stream, 1, 0, AttemptOutcome.SILENT)).isTrue();
    }

    @Test
    public void noCallIsSentToMoreEndpointsThanItsRouteAllows() {
        Route route = Routes.of(CallKind.REPEATABLE, 2, false);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            boolean unsent =
                    outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.WITHDRAWN;
            assertThat(AttemptPolicy.mayRetry(route, 2, 0, outcome)).isEqualTo(unsent);
        }
    }

    @Test
    public void unreachableEndpointsAreNotTriedWithoutEnd() {
        Route route = Routes.of(CallKind.ONCE, 1, false);
        assertThat(
                        AttemptPolicy.mayRetry(
                                route,
                                0,
                                AttemptPolicy.MAX_CONNECT_FAILURES,
                                AttemptOutcome.NOT_CONNECTED))
                .isFalse();
    }

    @Test
    public void theCallerIsToldNotRunOnlyWhereThatIsTrue() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            ErrorKind kind = AttemptPolicy.failure(outcome, true);
            assertThat(kind.runState()).isEqualTo(RunState.MAY_HAVE_RUN);
            assertThat(kind.httpStatus()).isIn(502, 504);
        }
        assertThat(AttemptPolicy.failure(AttemptOutcome.NOT_RUN, false).httpStatus())
                .isEqualTo(503);
    }
}
