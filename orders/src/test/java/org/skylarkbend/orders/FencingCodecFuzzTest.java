package org.skylarkbend.orders;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of the fencing of endpoints. */
public class FencingCodecFuzzTest implements FuzzTargets {
    private static final ObjectName NAME = ObjectName.of("control-1");

    private final FencingCodec mCodec = new FencingCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "fencing-messages",
                        List.of(
                                new FencingMessage.TakeCommand(NAME, 7),
                                new FencingMessage.FencingRecorded(NAME, Fencing.CHECKED)),
                        mCodec::encode,
                        mCodec::decode),
                FuzzTarget.ofCodec(
                        "fencing-state",
                        List.of(
                                new FencingState(
                                        7,
                                        "control-1",
                                        new TreeMap<>(Map.of(NAME, Fencing.IGNORED)))),
                        mCodec::encodeState,
                        mCodec::decodeState));
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
