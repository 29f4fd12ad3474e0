package org.skylarkbend.publishing.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.ByteMutations;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the encoding of feed messages, including truncated and corrupted input. */
public class FeedCodecTest {
    private static final int CORRUPTED_RUNS = 500;

    private final FeedCodec mCodec = new FeedCodec();

    @DataProvider
    private Object[] messages() {
        return List.of(
                        new FeedMessage.RouterHello(
                                ObjectName.of("entry-1"), ObjectName.of("thies-a"), 7),
                        new FeedMessage.RouterHeartbeat(3, 9),
                        new FeedMessage.ServingLease(3, 10, 5_000),
                        new FeedMessage.NotLeader(Optional.empty()),
                        new FeedMessage.NotLeader(
                                Optional.of(new FeedMessage.ControlAddress("127.0.0.1", 7001))),
                        new FeedMessage.SetRequest(9),
                        new FeedMessage.SetDocument(10, "rates: {}\n"),
                        new FeedMessage.SliceMessage("limits", new byte[] {1, 2}))
                .toArray();
    }

    @Test(dataProvider = "messages")
    public void aMessageSurvivesARoundTrip(FeedMessage message) {
        assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(Result.success(message));
    }

    @Test(dataProvider = "messages")
    public void aTruncatedMessageIsRefused(FeedMessage message) {
        byte[] encoded = mCodec.encode(message);
        for (int lengthBytes = 0; lengthBytes < encoded.length; lengthBytes++) {
            byte[] truncated = java.util.Arrays.copyOf(encoded, lengthBytes);
            assertThat(mCodec.decode(truncated).isSuccess()).isFalse();
        }
    }

    @Test(dataProvider = "messages")
    public void aCorruptedMessageIsDecodedOrRefused(FeedMessage message) {
        byte[] encoded = mCodec.encode(message);
        SeededRuns.forEachSeed(
                1,
                CORRUPTED_RUNS,
                seed -> {
                    byte[] corrupted = ByteMutations.mutate(encoded, new SplittableRandom(seed));
                    mCodec.decode(corrupted)
                            .match(
                                    read -> assertThat(mCodec.encode(read)).isNotEmpty(),
                                    error ->
                                            assertThat(error.kind())
                                                    .isEqualTo(ErrorKind.FRAME_INVALID));
                });
    }
}
