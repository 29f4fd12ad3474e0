package org.skylarkbend.gateway.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.EndpointCrash;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.SuspectCall;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which broken connections count as the crash of an endpoint. */
public class CrashRecorderTest {
    private static final Endpoint ENGINE =
            new Endpoint("e", "desk", "h", 1, "z", "v1", 6, false, 7, Map.of());
    private static final SuspectCall CALL =
            new SuspectCall("c1", List.of(new PromptPart("m", "p1")));

    private CrashRecorder mRecorder;

    @BeforeMethod
    public void createRecorder() {
        mRecorder = new CrashRecorder();
    }

    @Test
    public void anEndpointThatBreaksConnectionsAndRefusesNewOnesHasCrashed() {
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        assertThat(mRecorder.refusedConnection(ENGINE, 150)).isTrue();
        assertThat(mRecorder.crashes(300))
                .containsExactly(new EndpointCrash("e@7", 200, List.of(CALL)));
    }

    @Test
    public void anEndpointThatAcceptsConnectionsAfterABreakHasNotCrashed() {
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        mRecorder.connected(ENGINE);
        assertThat(mRecorder.refusedConnection(ENGINE, 200)).isFalse();
        assertThat(mRecorder.crashes(200)).isEmpty();
    }

    @Test
    public void aConnectionThatIsRefusedLongAfterABreakShowsNoCrash() {
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        assertThat(mRecorder.refusedConnection(ENGINE, 5_000)).isFalse();
    }

    @Test
    public void callsWhoseBreakIsNoticedAfterTheCrashAreAddedToIt() {
        SuspectCall late = new SuspectCall("c2", List.of());
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        mRecorder.refusedConnection(ENGINE, 101);
        mRecorder.connectionBroke(ENGINE, late, 102);
        assertThat(mRecorder.crashes(102).get(0).calls()).containsExactly(CALL, late);
    }

    /** Guards against the call that caused a crash being the only one that is not reported. */
    @Test
    public void callsThatAreTakenBackBecauseTheEndpointIsLostAreAddedToItsCrash() {
        SuspectCall takenBack = new SuspectCall("c2", List.of());
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        mRecorder.refusedConnection(ENGINE, 101);
        assertThat(mRecorder.waitedInVain(ENGINE, takenBack)).isTrue();
        assertThat(mRecorder.crashes(102).get(0).calls()).containsExactly(CALL, takenBack);
    }

    /** Guards against the call that caused a crash being left out since many others waited. */
    @Test
    public void allCallsThatAnEndpointCanHoldAreReported() {
        for (int i = 0; i < 300; i++) {
            mRecorder.connectionBroke(ENGINE, new SuspectCall("w" + i, List.of()), 100);
        }
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        mRecorder.refusedConnection(ENGINE, 101);
        assertThat(mRecorder.crashes(102).get(0).calls()).hasSize(301).contains(CALL);
    }

    @Test
    public void theCallsOfAllCrashesTogetherAreLimited() {
        for (int i = 0; i < 40; i++) {
            Endpoint engine =
                    new Endpoint("e" + i, "desk", "h", 1, "z", "v1", 6, false, 7, Map.of());
            for (int call = 0; call < 300; call++) {
                mRecorder.connectionBroke(engine, new SuspectCall("w" + call, List.of()), 100);
            }
            mRecorder.refusedConnection(engine, 101);
        }
        int calls = mRecorder.crashes(102).stream().mapToInt(crash -> crash.calls().size()).sum();
        assertThat(calls).isEqualTo(4_096);
    }

    @Test
    public void callsThatAreTakenBackFromASilentEndpointAreNoSuspects() {
        assertThat(mRecorder.waitedInVain(ENGINE, CALL)).isFalse();
        mRecorder.refusedConnection(ENGINE, 101);
        assertThat(mRecorder.crashes(102)).isEmpty();
    }

    @Test
    public void aCrashIsForgottenAfterSomeSeconds() {
        mRecorder.connectionBroke(ENGINE, CALL, 100);
        mRecorder.refusedConnection(ENGINE, 150);
        assertThat(mRecorder.crashes(20_000)).isEmpty();
    }
}
