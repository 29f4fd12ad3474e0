package org.skylarkbend.publishing.feed;

import java.util.List;
import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of the feed. */
public class FeedCodecFuzzTest implements FuzzTargets {
    private final FeedCodec mCodec = new FeedCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec("feed-messages", messages(), mCodec::encode, mCodec::decode));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    private static List<FeedMessage> messages() {
        return List.of(
                new FeedMessage.RouterHello(ObjectName.of("entry-1"), ObjectName.of("thies-a"), 7),
                new FeedMessage.RouterHeartbeat(3, 9),
                new FeedMessage.ServingLease(3, 10, 5_000),
                new FeedMessage.NotLeader(Optional.empty()),
                new FeedMessage.NotLeader(
                        Optional.of(new FeedMessage.ControlAddress("127.0.0.1", 7001))),
                new FeedMessage.SetRequest(9),
                new FeedMessage.SetDocument(10, "rates: {}\n"),
                new FeedMessage.SliceMessage("limits", new byte[] {1, 2}));
    }
}
