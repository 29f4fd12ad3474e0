package org.skylarkbend.control.limits;

import java.util.LinkedHashSet;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of the registry of limits. */
public class LimitRegistryCodecFuzzTest implements FuzzTargets {
    private static final RouterIdentity ROUTER = new RouterIdentity(ObjectName.of("entry-1"), 7);

    private final LimitRegistryCodec mCodec = new LimitRegistryCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "registry-changes",
                        List.of(
                                new LimitRegistryChange.Register(ROUTER),
                                new LimitRegistryChange.Unregister(ROUTER)),
                        mCodec::encode,
                        mCodec::decode),
                FuzzTarget.ofCodec(
                        "registry",
                        List.of(new LimitRegistry(new LinkedHashSet<>(List.of(ROUTER)))),
                        mCodec::encodeRegistry,
                        mCodec::decodeRegistry));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }
}
