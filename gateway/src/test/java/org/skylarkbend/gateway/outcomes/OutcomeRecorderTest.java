package org.skylarkbend.gateway.outcomes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.moves.OutcomeWindow;
import org.skylarkbend.moves.rollout.RolloutOutcomes;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the counts of calls during a rollout. */
public class OutcomeRecorderTest {
    private static final Endpoint OLD = endpoint("desk", "v1");
    private static final Endpoint NEW = endpoint("desk", "v2");

    private List<RolloutOutcomes> mReports;
    private OutcomeRecorder mRecorder;

    @BeforeMethod
    public void createRecorder() {
        mReports = new ArrayList<>();
        mRecorder = new OutcomeRecorder(mReports::add);
    }

    @Test
    public void onlyServicesWithARolloutAreCounted() {
        mRecorder.sent(OLD);
        mRecorder.failed(OLD, "r");
        mRecorder.report();
        assertThat(mReports).isEmpty();
        mRecorder.splitsChanged(List.of(new VersionSplit("desk", "v2", 0.1, Set.of())));
        mRecorder.sent(endpoint("hub", "v1"));
        mRecorder.report();
        assertThat(mReports).isEmpty();
    }

    @Test
    public void callsAreCountedByVersionAndRouteAndReportedOnce() {
        mRecorder.splitsChanged(List.of(new VersionSplit("desk", "v2", 0.1, Set.of())));
        mRecorder.sent(OLD);
        mRecorder.sent(NEW);
        mRecorder.succeeded(OLD, "r", 70);
        mRecorder.failed(NEW, "r");
        mRecorder.succeeded(NEW, "S", 9_000);
        mRecorder.report();
        mRecorder.report();
        assertThat(mReports).hasSize(1);
        RolloutOutcomes report = mReports.get(0);
        assertThat(report.sentToOthers()).isEqualTo(1);
        assertThat(report.sentToVersion()).isEqualTo(1);
        OutcomeWindow window = report.windows().get(1);
        assertThat(window.route().value()).isEqualTo("r");
        assertThat(window.fromVersion().timedRequests()).isEqualTo(1);
        assertThat(window.toVersion().errors()).isEqualTo(1);
        assertThat(report.windows().get(0).route().value()).as("invalid name").isEqualTo("other");
        assertThat(report.windows().get(0).toVersion().slowerThan(15)).isEqualTo(1);
    }

    private static Endpoint endpoint(String service, String version) {
        return new Endpoint("i", service, "10.0.0.1", 80, "z", version, 6, false, 1, Map.of());
    }
}
