package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.Test;

/**
 * Members under random schedules of faults: messages delayed, dropped, repeated, reordered and cut
 * one way or both, members crashed and frozen, disks full and lost.
 */
public class AgreementScheduleTest {
    private static final long FIRST_SEED = 1;
    private static final int SCHEDULES = 10_000;
    private static final int OPEN_SCHEDULES = 3_000;

    @Test
    public void noScheduleLosesOrChangesWhatWasCommittedOrShowsAStaleRead() {
        run("listed", SCHEDULES, AgreementSchedule::listed);
    }

    @Test
    public void membersThatFindOneAnotherAndDropTheSilentLoseNothingEither() {
        run("open", OPEN_SCHEDULES, AgreementSchedule::open);
    }

    private static void run(String kind, int schedules, LongFunction<AgreementSchedule> schedule) {
        AtomicLong answered = new AtomicLong();
        AtomicLong reads = new AtomicLong();
        SeededRuns.forEachSeed(
                FIRST_SEED,
                schedules,
                seed -> {
                    ScheduleChecks checks = schedule.apply(seed).run();
                    answered.addAndGet(checks.answeredIndex());
                    reads.addAndGet(checks.confirmedReads());
                });
        System.out.println(
                kind
                        + " agreement schedules: answered index sum "
                        + answered
                        + ", confirmed reads "
                        + reads);
        assertThat(answered.get()).isGreaterThan(10L * schedules);
        assertThat(reads.get()).isGreaterThan(10L * schedules);
    }
}
