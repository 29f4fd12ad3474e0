package org.skylarkbend.gateway.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.SuspectCall;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a gateway reports about crashes, and which calls it refuses. */
public class CrashGuardTest {
    private static final PromptPart PART = new PromptPart("m", "p");
    private static final PromptPart OTHER = new PromptPart("m", "other");
    private static final SuspectCall CALL = new SuspectCall("c", List.of(PART));
    private static final Endpoint ENGINE =
            new Endpoint("e", "desk", "h", 1, "z", "v1", 6, false, 7, Map.of());

    private List<CrashEvidence> mReports;
    private CrashGuard mGuard;

    @BeforeMethod
    public void createGuard() {
        mReports = new ArrayList<>();
        mGuard = new CrashGuard(mReports::add, new MetricRegistry());
    }

    @Test
    public void aCrashIsReportedAtOnceAndRepeatedWhileItIsRecent() {
        crash(0);
        assertThat(mReports).hasSize(1);
        mGuard.reportIfDue(100);
        assertThat(mReports).as("not repeated at once").hasSize(1);
        mGuard.reportIfDue(600);
        assertThat(mReports).hasSize(2);
        assertThat(mReports.get(1).crashes().get(0).ageMilliseconds()).isEqualTo(600);
    }

    @Test
    public void withoutCrashesNothingIsReported() {
        mGuard.served("m", List.of(PART), List::of, 0);
        mGuard.reportIfDue(10_000);
        assertThat(mReports).isEmpty();
    }

    @Test
    public void answersWithAWatchedPartAreReportedWithTheTimeOfTheLastOne() {
        mGuard.served("m", List.of(PART, OTHER), List::of, 100);
        mGuard.noticeReceived(new QuarantineNotice(Set.of(PART), Map.of()), 300);
        assertThat(mReports.get(0).servedMilliseconds()).isEqualTo(Map.of(PART, 200L));
        mGuard.served("m", List.of(PART), List::of, 400);
        mGuard.reportIfDue(410);
        assertThat(mReports.get(1).servedMilliseconds()).isEqualTo(Map.of(PART, 10L));
        assertThat(mReports.get(1).answeredCalls()).isEqualTo(Map.of("m", 2L));
    }

    @Test
    public void aCallIsRefusedOnlyWhileAllPartsOfACombinationAreQuarantined() {
        PartCombination both = PartCombination.of(List.of(PART, OTHER));
        mGuard.noticeReceived(new QuarantineNotice(Set.of(), Map.of(both, 5_000L)), 0);
        assertThat(mGuard.quarantinedMilliseconds(() -> List.of(PART), 1_000)).isEmpty();
        assertThat(mGuard.quarantinedMilliseconds(() -> List.of(OTHER, PART), 1_000))
                .hasValue(4_000);
        mGuard.noticeReceived(QuarantineNotice.none(), 2_000);
        assertThat(mGuard.quarantinedMilliseconds(() -> List.of(OTHER, PART), 2_000)).isEmpty();
    }

    @Test
    public void aQuarantineHoldsUntilControlLiftsIt() {
        PartCombination part = PartCombination.of(List.of(PART));
        mGuard.noticeReceived(new QuarantineNotice(Set.of(), Map.of(part, 5_000L)), 0);
        assertThat(mGuard.quarantinedMilliseconds(() -> List.of(PART), 60_000)).hasValue(1);
    }

    private void crash(long atMilliseconds) {
        mGuard.connectionBroke(ENGINE, CALL, atMilliseconds);
        mGuard.refusedConnection(ENGINE, atMilliseconds);
    }
}
