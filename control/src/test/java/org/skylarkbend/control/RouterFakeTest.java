package org.skylarkbend.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.publishing.feed.FeedCodec;
import org.skylarkbend.publishing.feed.FeedMessage;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.usage.UsageMessage;
import org.skylarkbend.wire.FrameConnection;
import org.skylarkbend.wire.FrameListener;
import org.skylarkbend.wire.WireOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that {@link RouterFake} ignores a late response to an earlier message. */
public class RouterFakeTest {
    private static final String FIRST = "first";
    private static final String SECOND = "second";

    private Vertx mVertx;
    private RouterFake mRouter;

    @BeforeMethod
    public void startRouter() throws Exception {
        mVertx = Vertx.vertx();
        FrameListener<FeedMessage> control =
                new FrameListener<>(
                        mVertx, new FeedCodec(), WireOptions.plain(), MillisecondClock.monotonic());
        int port =
                control.listen("127.0.0.1", 0, RouterFakeTest::respondLate)
                        .await(20, TimeUnit.SECONDS);
        mRouter = new RouterFake(mVertx, "entry-1", List.of(port));
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() throws Exception {
        mVertx.close().await(20, TimeUnit.SECONDS);
    }

    @Test
    public void aLateResponseToAnEarlierRequestIsNotTheResponseToThisOne() throws Exception {
        assertThat(request(FIRST)).isEqualTo(FIRST);
        assertThat(request(SECOND)).isEqualTo(SECOND);
    }

    private String request(String request) throws Exception {
        return mRouter.request(
                sliceMessage(request),
                payload -> Optional.of(textOf(payload)).filter(request::equals));
    }

    /**
     * Responds to each message with a copy of it. A second response to the first message precedes
     * the one to the second.
     */
    private static void respondLate(FrameConnection<FeedMessage> connection) {
        connection.onMessage(
                message -> {
                    if (message instanceof SliceMessage request) {
                        if (textOf(request.payload()).equals(SECOND)) {
                            connection.send(sliceMessage(FIRST));
                        }
                        connection.send(request);
                    }
                });
    }

    private static SliceMessage sliceMessage(String text) {
        return new SliceMessage(UsageMessage.SLICE, text.getBytes(StandardCharsets.UTF_8));
    }

    private static String textOf(byte[] payload) {
        return new String(payload, StandardCharsets.UTF_8);
    }
}
