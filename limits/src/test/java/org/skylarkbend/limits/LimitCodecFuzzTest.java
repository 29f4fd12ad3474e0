package org.skylarkbend.limits;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of limit messages. */
public class LimitCodecFuzzTest implements FuzzTargets {
    private static final ObjectName CUSTOMER = ObjectName.of("atelier");

    private final LimitCodec mCodec = new LimitCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("limit-messages", messages(), mCodec::encode, mCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<LimitMessage> messages() {
        return List.of(
                new LimitMessage.TermBegan(3),
                new LimitMessage.Report(
                        3,
                        9,
                        true,
                        List.of(
                                new LimitMessage.ReportEntry(
                                        CUSTOMER, 1, 2, 3, 4, 5, 6, 1L << 40, true))),
                new LimitMessage.Grants(
                        3, 9, List.of(new LimitMessage.GrantEntry(CUSTOMER, 70_000, true))));
    }
}
