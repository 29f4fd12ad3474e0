package org.skylarkbend.publishing;

import java.util.List;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the codec of publishes. */
public class PublishingCodecFuzzTest implements FuzzTargets {
    private static final PublishId ID = new PublishId("publish-1");
    private static final List<PublishResult> RESULTS =
            List.of(
                    new PublishResult.Accepted(3),
                    new PublishResult.Conflict(4, ID),
                    new PublishResult.Refused(
                            new SkylarkError(ErrorKind.SET_INVALID, "set.yaml:1: bad")));

    private final PublishingCodec mCodec = new PublishingCodec();

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "publishes",
                        List.of(new PublishingMessage.Publish(ID, 2, "rates: {}\n")),
                        mCodec::encode,
                        mCodec::decode),
                FuzzTarget.ofCodec(
                        "publish-results", RESULTS, mCodec::encodeResult, mCodec::decodeResult),
                FuzzTarget.ofCodec(
                        "publishing-state",
                        List.of(state()),
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

    private static PublishingState state() {
        List<RememberedPublish> remembered =
                RESULTS.stream()
                        .map(result -> new RememberedPublish(ID, 2, "0".repeat(64), result))
                        .toList();
        return new PublishingState(3, "rates: {}\n", remembered);
    }
}
