package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.Route;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests bodies of which no byte arrives for a time, or seems to. */
public class IdleBodyTest extends GatewayFixture {
    private static final long IDLE_MILLISECONDS = 15_000;
    private static final long SHORT_IDLE_MILLISECONDS = 500;
    private static final long JUMP_MILLISECONDS = 20_000;

    /** Some intervals in which the gateway looks for idle bodies. */
    private static final long CHECKS_MILLISECONDS = 1_000;

    private static final int MEMORY_BYTES = 1_000_000;
    private static final int LARGE_BYTES = 700_000;
    private static final Route ROUTE = Routes.of(CallKind.ONCE, 1, false, 600_000);

    /** Calls keep their bodies, which may have to be sent again, until a response has begun. */
    private static final Route KEEPING_ROUTE = Routes.of(CallKind.STREAM, 2, false, 600_000);

    private static final String HEAD =
            "POST /x/y HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n"
                    + "Call-Id: slow\r\n";

    private final AtomicLong mJumpedMilliseconds = new AtomicLong();
    private final MillisecondClock mMonotonic = MillisecondClock.monotonic();
    private Vertx mCallers;
    private Route mRoute = ROUTE;
    private long mIdleMilliseconds;
    private Endpoint mListed;

    @Override
    protected MillisecondClock clock() {
        return () -> mMonotonic.nowMilliseconds() + mJumpedMilliseconds.get();
    }

    @Override
    protected CallerLimits callerLimits() {
        return new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, mIdleMilliseconds);
    }

    @Override
    protected long memoryBytes() {
        return MEMORY_BYTES;
    }

    @BeforeMethod
    public void publishEndpoint() throws Exception {
        mCallers = Vertx.vertx();
        mRoute = ROUTE;
        FakeEndpoint endpoint =
                new FakeEndpoint(
                        "e",
                        request -> {
                            if (!"kept".equals(request.getHeader("Call-Id"))) {
                                FakeEndpoint.respondingWith(200, "done").accept(request);
                            }
                        });
        await(endpoint.listen(mVertx));
        mListed = endpoint.listed();
        publishIdle(IDLE_MILLISECONDS);
    }

    /** Callers have event loops of their own, which are never held up. */
    @AfterMethod(alwaysRun = true)
    public void stopCallers() throws Exception {
        await(mCallers.close());
    }

    /** Guards against a body that is given up while its bytes wait in the socket. */
    @Test
    public void aBodyWhoseBytesArriveWhileTheGatewayIsHeldUpIsServed() throws Exception {
        RawClient caller = beginBody();
        runOnGateway(
                () -> {
                    mVertx.setTimer(1, id -> holdUpWhile(caller.send("dy")));
                    holdUpWhile(mCallers.timer(CHECKS_MILLISECONDS, TimeUnit.MILLISECONDS));
                });
        awaitUntil(() -> caller.isClosed() || caller.received().contains("done"));
        assertThat(caller.received()).startsWith("HTTP/1.1 200 ");
    }

    /** Holds up the gateway until something else has happened, and the clock has jumped. */
    private void holdUpWhile(Future<Void> other) {
        try {
            await(other);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
        mJumpedMilliseconds.addAndGet(JUMP_MILLISECONDS);
    }

    /** Guards against a limit of a later catalog that ends a body which began before it. */
    @Test
    public void aBodyThatBeganUnderALongerLimitKeepsIt() throws Exception {
        RawClient caller = beginBody();
        publishIdle(1);
        await(mVertx.timer(CHECKS_MILLISECONDS, TimeUnit.MILLISECONDS));
        caller.send("dy");
        awaitUntil(() -> caller.isClosed() || caller.received().contains("done"));
        assertThat(caller.received()).startsWith("HTTP/1.1 200 ");
    }

    /** Guards against a caller that takes a closed connection for a call that may have run. */
    @Test
    public void aBodyThatStaysIncompleteIsRefusedWithAnAnswer() throws Exception {
        publishIdle(SHORT_IDLE_MILLISECONDS);
        RawClient caller = beginBody();
        awaitUntil(caller::isClosed);
        assertThat(caller.received()).startsWith("HTTP/1.1 408 ").contains("not_run");
        awaitUntil(() -> heldBytes() == 0);
    }

    /** Guards against a body that is given up as idle while the gateway does not read it. */
    @Test
    public void aBodyThatWaitsForRoomIsNotIdle() throws Exception {
        mRoute = KEEPING_ROUTE;
        publishIdle(IDLE_MILLISECONDS);
        String kept = HEAD.replace("slow", "kept");
        RawClient first = await(RawClient.connect(mCallers, mPort));
        await(first.send(withBody(kept, LARGE_BYTES)));
        awaitUntil(() -> heldBytes() >= LARGE_BYTES);
        publishIdle(1);
        RawClient caller = await(RawClient.connect(mCallers, mPort));
        await(caller.send(withBody(HEAD, LARGE_BYTES)));
        awaitUntil(() -> caller.isClosed() || caller.received().contains("}"));
        assertThat(caller.received()).startsWith("HTTP/1.1 503 ").contains("overloaded");
    }

    /** Sends a request without the end of its body, and waits until the gateway has the rest. */
    private RawClient beginBody() throws Exception {
        RawClient caller = await(RawClient.connect(mCallers, mPort));
        await(caller.send(HEAD + "Content-Length: 4\r\n\r\nbo"));
        awaitUntil(() -> heldBytes() == 4);
        return caller;
    }

    private void publishIdle(long idleMilliseconds) throws Exception {
        mIdleMilliseconds = idleMilliseconds;
        publish(mRoute, mListed);
    }

    private static String withBody(String head, int bytes) {
        return head + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes);
    }

    private long heldBytes() {
        return mMetrics.counter("gateway_held_bytes").getCount();
    }
}
