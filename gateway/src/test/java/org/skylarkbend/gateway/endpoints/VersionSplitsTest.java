package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.VersionSplit;
import org.testng.annotations.Test;

/** Tests the division of calls between the versions of a service. */
public class VersionSplitsTest {
    private final EndpointLoad mOld = endpoint("a", "v1");
    private final EndpointLoad mNew = endpoint("b", "v2");
    private final VersionSplits mSplits = new VersionSplits();

    @Test
    public void aCallIsDrawnForOneOfTheVersions() {
        split(0.25, Set.of());
        assertThat(candidates(PriorAttempts.none(), 0.2)).containsExactly(mNew);
        assertThat(candidates(PriorAttempts.none(), 0.3)).containsExactly(mOld);
    }

    @Test
    public void aRetryKeepsToTheVersionThatIsKnownToBeGood() {
        split(0.25, Set.of());
        PriorAttempts triedNew = new PriorAttempts(Set.of("b@1"), false);
        assertThat(candidates(triedNew, 0.1)).containsExactly(mOld);
    }

    @Test
    public void aRetiredVersionGetsNoCallsEvenIfNoOtherEndpointIsLeft() {
        split(0, Set.of("v2"));
        PriorAttempts triedOld = new PriorAttempts(Set.of("a@1"), false);
        assertThat(candidates(triedOld, 0)).isEmpty();
        split(1, Set.of("v1"));
        assertThat(candidates(PriorAttempts.none(), 0.99)).containsExactly(mNew);
    }

    @Test
    public void aCallWhoseVersionsHaveNoEndpointLeftTakesAnother() {
        split(0.25, Set.of());
        PriorAttempts triedOld = new PriorAttempts(Set.of("a@1"), false);
        assertThat(candidates(triedOld, 0.9)).containsExactly(mNew);
    }

    private void split(double share, Set<String> retired) {
        mSplits.replace(List.of(new VersionSplit("desk", "v2", share, retired)));
    }

    private List<EndpointLoad> candidates(PriorAttempts prior, double draw) {
        return mSplits.candidates("desk", List.of(mOld, mNew), prior, () -> draw);
    }

    private static EndpointLoad endpoint(String id, String version) {
        return new EndpointLoad(
                new Endpoint(id, "desk", "10.0.0.1", 80, "z", version, 6, false, 1, Map.of()));
    }
}
