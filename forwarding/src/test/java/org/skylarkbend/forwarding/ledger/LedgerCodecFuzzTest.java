package org.skylarkbend.forwarding.ledger;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of the ledger of calls. */
public class LedgerCodecFuzzTest implements FuzzTargets {
    private static final CallIdentity CALL =
            new CallIdentity(
                    Optional.of(ObjectName.of("atelier")), ObjectName.of("bookings"), "booking-1");
    private static final CallIdentity KEYLESS =
            new CallIdentity(Optional.empty(), ObjectName.of("bookings"), "booking-2");

    private final LedgerCodec mCodec = new LedgerCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("ledger-messages", messages(), mCodec::encode, mCodec::decode),
                FuzzTarget.ofCodec(
                        "ledger-snapshot",
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

    private static List<LedgerMessage> messages() {
        return List.of(
                new LedgerMessage.ReserveCall(CALL, "r-1", "digest"),
                new LedgerMessage.SettleCall(KEYLESS, "r-1", CallOutcome.IN_DOUBT, 502),
                new LedgerMessage.ReserveResponse("r-1", ReserveVerdict.ALREADY_RAN, 200),
                new LedgerMessage.SettleResponse("r-1", true));
    }

    private static LedgerSnapshot snapshot() {
        return new LedgerSnapshot(
                9,
                List.of(
                        new CallRecord(CALL, "r-1", "digest", Optional.empty(), 0, 5),
                        new CallRecord(
                                KEYLESS, "r-2", "digest", Optional.of(CallOutcome.RAN), 200, 6)));
    }
}
