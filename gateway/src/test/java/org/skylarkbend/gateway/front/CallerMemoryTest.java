package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.testing.ManualClock;
import org.skylarkbend.wire.RequestDecoder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which incomplete requests lose their memory when there is none left. */
public class CallerMemoryTest {
    private static final long HEAD_MEMORY_BYTES = 3_000_000;
    private static final long BODY_MEMORY_BYTES = 1_000;
    private static final int HEAD_BYTES = 16_000;
    private static final long STALLED_MILLISECONDS = 1_000;

    private final List<Integer> mClosed = new ArrayList<>();
    private ManualClock mClock;
    private ByteBudget mHeads;
    private ByteBudget mBodies;
    private CallerMemory mMemory;

    @BeforeMethod
    public void createMemory() {
        mClosed.clear();
        mClock = new ManualClock(0);
        mHeads = new ByteBudget("heads", HEAD_MEMORY_BYTES, new MetricRegistry());
        mBodies = new ByteBudget("bodies", BODY_MEMORY_BYTES, new MetricRegistry());
        mMemory = new CallerMemory(mHeads, mBodies, mClock);
    }

    /** The load: many connections with a head each that stays incomplete. */
    @Test
    public void theOldestIncompleteHeadsMakeRoomForOthersOnceTheyAreStalled() {
        assertThat(hold(1)).isTrue();
        assertThat(hold(2)).isTrue();
        assertThat(hold(3)).as("heads that may still be arriving stay").isFalse();
        mClock.advance(STALLED_MILLISECONDS);
        assertThat(hold(4)).isTrue();
        assertThat(mClosed).containsExactly(1);
        assertThat(mMemory.takeHead(HEAD_MEMORY_BYTES / 2)).as("a complete head").isTrue();
        assertThat(mClosed).containsExactly(1, 2);
    }

    @Test
    public void aHeadTakesNoMoreMemoryWhenItIsCompleteOrLost() {
        RequestDecoder.HeadMemory head = mMemory.newHead();
        head.hold(HEAD_BYTES, () -> {});
        head.release();
        head.release();
        assertThat(mHeads.usedBytes()).isZero();
    }

    /** The load: many bodies that stop short of their end. */
    @Test
    public void aStalledBodyMakesRoomForAnotherAndABodyThatArrivesDoesNot() {
        Body stalled = new Body(true);
        Body arriving = new Body(false);
        mMemory.addBody(arriving);
        mMemory.addBody(stalled);
        mBodies.tryTake(2 * Body.BYTES);
        assertThat(mBodies.tryTake(Body.BYTES)).isTrue();
        assertThat(stalled.mGivenUp).isTrue();
        assertThat(arriving.mGivenUp).isFalse();
        assertThat(mBodies.tryTake(Body.BYTES)).isFalse();
    }

    @Test
    public void aHeadOfManyShortLinesCountsWithTheHeapThatItsLinesTake() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        for (int i = 0; i < 4_000; i++) {
            headers.add("a", "");
        }
        assertThat(CallerMemory.bytesOf(headers)).isGreaterThan(400_000);
    }

    private boolean hold(int connection) {
        return mMemory.newHead().hold(HEAD_BYTES, () -> mClosed.add(connection));
    }

    private final class Body implements CallerMemory.Holder {
        private static final long BYTES = 400;

        private final boolean mStalled;
        private boolean mGivenUp;

        Body(boolean stalled) {
            mStalled = stalled;
        }

        @Override
        public boolean isStalled(long nowMilliseconds) {
            return mStalled;
        }

        @Override
        public void giveUp() {
            mGivenUp = true;
            mMemory.removeBody(this);
            mBodies.release(BYTES);
        }
    }
}
