package org.skylarkbend.usage;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.skylarkbend.usage.UsageSnapshot.DayTokens;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageSnapshot.RouterProgress;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of usage. */
public class UsageCodecFuzzTest implements FuzzTargets {
    private static final ObjectName NAME = ObjectName.of("a");
    private static final UsageSubject SUBJECT = new UsageSubject(NAME, NAME, NAME);
    private static final UsageTokens TOKENS = new UsageTokens(3L << 40, 2L << 40, 1L << 40);

    private final UsageCodec mCodec = new UsageCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("usage-messages", messages(), mCodec::encode, mCodec::decode),
                FuzzTarget.ofCodec(
                        "usage-snapshot",
                        List.of(snapshot()),
                        mCodec::encodeSnapshot,
                        mCodec::decodeSnapshot));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<UsageMessage> messages() {
        return List.of(
                new UsageMessage.Report(
                        NAME, 1, 2, true, List.of(new UsageLine(SUBJECT, 20_000, TOKENS))),
                new UsageMessage.Acknowledged(1, 2),
                new UsageMessage.GrantsUsedUp(24_311, List.of(NAME)),
                new UsageMessage.ReadUsage());
    }

    private static UsageSnapshot snapshot() {
        return new UsageSnapshot(
                List.of(new MonthTokens(24_311, SUBJECT, TOKENS)),
                List.of(new DayTokens(20_000, NAME, TOKENS)),
                List.of(new RouterProgress(NAME, 1, 2, false, 20_000)),
                List.of(new UsageGap(NAME, 1, 20_000)));
    }
}
