package org.skylarkbend.gateway.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Runs a gate through random schedules. */
public class TokenGateScheduleTest {
    private static final int SCHEDULES = 300;
    private static final int STEPS = 400;

    /** Guards against a call that waits for tokens and is forgotten. */
    @Test
    public void inEveryScheduleEachCallIsAdmittedOrRefusedOnceWithinItsBound() {
        List<String> faults = new ArrayList<>();
        SeededRuns.forEachSeed(
                1,
                SCHEDULES,
                seed ->
                        new GateSchedule(seed)
                                .run(STEPS)
                                .ifPresent(fault -> faults.add("seed " + seed + ": " + fault)));
        assertThat(faults).isEmpty();
    }
}
