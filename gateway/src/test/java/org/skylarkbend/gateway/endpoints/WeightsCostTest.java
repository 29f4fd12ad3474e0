package org.skylarkbend.gateway.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.skylarkbend.catalog.Endpoint;
import org.testng.annotations.Test;

/** Tests the cost that the weights of an engine add to a call. */
public class WeightsCostTest {
    private static final long LIFE_MILLISECONDS = 7_000;
    private static final Prompt LONG_RESPONSE = new Prompt("m", List.of(), 800, 240);
    private static final Prompt SHORT_RESPONSE = new Prompt("m", List.of(), 800, 10);

    private final EndpointLoad mFirst = engine("a", 1);
    private final EndpointLoad mSecond = engine("b", 1);
    private final EndpointLoad mNewest = engine("c", 2);

    @Test
    public void enginesLoadInTurnTheMostOutdatedFirst() {
        WeightsCost weightsCost = new WeightsCost(LIFE_MILLISECONDS);
        assertThat(weightsCost.weightsLoadOrder(List.of(mNewest, mSecond, mFirst), "m"))
                .containsEntry(mFirst, 0)
                .containsEntry(mSecond, 1)
                .containsEntry(mNewest, 2);
    }

    @Test
    public void aLongResponseCostsMostAtTheEngineThatLoadsNext() {
        WeightsCost weightsCost = new WeightsCost(LIFE_MILLISECONDS);
        weightsCost.weightsAnnounced(Map.of("m", 2L), 0);
        assertThat(cost(weightsCost, mFirst, LONG_RESPONSE, 0))
                .isGreaterThan(cost(weightsCost, mSecond, LONG_RESPONSE, 0));
        assertThat(cost(weightsCost, mSecond, LONG_RESPONSE, 0))
                .isGreaterThan(cost(weightsCost, mNewest, LONG_RESPONSE, 0));
        assertThat(cost(weightsCost, mSecond, SHORT_RESPONSE, 0)).isZero();
    }

    @Test
    public void olderWeightsCostMoreWithTimeAndAreFinallyExcluded() {
        WeightsCost weightsCost = new WeightsCost(LIFE_MILLISECONDS);
        weightsCost.weightsAnnounced(Map.of("m", 2L), 0);
        double fresh = cost(weightsCost, mSecond, SHORT_RESPONSE, 1_000);
        double old = cost(weightsCost, mSecond, SHORT_RESPONSE, 2_000);
        double nearEnd = cost(weightsCost, mSecond, SHORT_RESPONSE, LIFE_MILLISECONDS);
        assertThat(fresh).isLessThan(old);
        assertThat(old).isLessThan(nearEnd);
        assertThat(cost(weightsCost, mSecond, SHORT_RESPONSE, LIFE_MILLISECONDS + 1))
                .isEqualTo(Double.POSITIVE_INFINITY);
    }

    private double cost(
            WeightsCost weightsCost, EndpointLoad load, Prompt prompt, long nowMilliseconds) {
        return weightsCost.cost(
                load,
                weightsCost.weightsLoadOrder(List.of(mFirst, mSecond, mNewest), "m"),
                prompt,
                nowMilliseconds);
    }

    private static EndpointLoad engine(String id, long version) {
        return new EndpointLoad(
                new Endpoint(
                        id, "desk", "10.0.0.1", 80, "z", "v1", 64, false, 1, Map.of("m", version)));
    }
}
