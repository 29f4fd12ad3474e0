package org.skylarkbend.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of messages between control and gateways. */
public class SiteCodecFuzzTest implements FuzzTargets {
    private final SiteCodec mCodec = new SiteCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("site-messages", messages(), mCodec::encode, mCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<SiteMessage> messages() {
        Endpoint endpoint =
                new Endpoint("i-1", "desk", "10.0.0.1", 80, "a", "v1", 6, true, 5, Map.of("m", 3L));
        return List.of(
                new SiteMessage.ControlVms(List.of("10.0.0.1", "10.0.0.2")),
                new SiteMessage.ColdEndpoints(Map.of("i-1@5", 2_500L)),
                new SiteMessage.DataCentresEvacuated(Set.of("nord", "sud")),
                new SiteMessage.EndpointsListed(
                        8, new Endpoints(List.of(endpoint), Set.of(endpoint.incarnation()))),
                new SiteMessage.EndpointsChanged(
                        9,
                        new Endpoints.Difference(
                                List.of(endpoint), Set.of("i-2@7"), Set.of("i-1@5"))),
                new SiteMessage.CallSplits(
                        List.of(new VersionSplit("desk", "v2", 0.25, Set.of("v1")))),
                new SiteMessage.WeightsNamed(Map.of("m", 2L, "n", 1L)),
                new SiteMessage.WorkUnderWay(Map.of("i-1@5", new EndpointWork(9_190, 3)), 480),
                new SiteMessage.RelayOffered(new Relay("10.1.0.1", 7_602, "a", false), true),
                new SiteMessage.RelaysListed(
                        List.of(
                                new Relay("10.1.0.1", 7_602, "a", false),
                                new Relay("10.1.0.2", 1, "b", false)),
                        5));
    }
}
