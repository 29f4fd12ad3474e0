package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/** Tests what is left of acknowledged entries when disks and then the power are lost. */
public class AcknowledgedEntriesTest {
    private static final int SEEDS = 1_000;
    private static final int ROUNDS = 4;

    /**
     * Guards against an acknowledgement that counts a disk which never had the entry, or one that
     * is lost while the members change.
     */
    @Test
    public void whatWasAcknowledgedOutlivesTheToleratedDisksAndThePowerOfAllOthers() {
        AtomicLong changesInFlight = new AtomicLong();
        SeededRuns.forEachSeed(
                1,
                SEEDS,
                seed -> changesInFlight.addAndGet(new DiskLossSimulation(seed).run(ROUNDS)));
        System.out.println("acknowledgements beside a change of the members: " + changesInFlight);
        assertThat(changesInFlight.get()).isGreaterThan(SEEDS / 100);
    }
}
