package org.skylarkbend.intake;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.ByteBudget;
import org.skylarkbend.testing.ManualClock;
import org.skylarkbend.wire.ReceiveMemory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which incomplete requests lose their memory when there is none left. */
public class CallerMemoryTest {
    private static final long HEAD_MEMORY_BYTES = 3_000_000;
    private static final long BODY_MEMORY_BYTES = 1_000;
    private static final long UNDECODED_MEMORY_BYTES = 1_000;

    /** Heap of a head of 16,000 bytes in the shortest lines. */
    private static final long HEAD_BYTES = 1_392_000;

    private static final long STALLED_MILLISECONDS = 1_000;

    private final List<Integer> mClosed = new ArrayList<>();
    private ManualClock mClock;
    private ByteBudget mHeads;
    private ByteBudget mBodies;
    private ByteBudget mUndecoded;
    private CallerMemory mMemory;

    @BeforeMethod
    public void createMemory() {
        mClosed.clear();
        mClock = new ManualClock(0);
        mHeads = new ByteBudget("heads", HEAD_MEMORY_BYTES, new MetricRegistry());
        mBodies = new ByteBudget("bodies", BODY_MEMORY_BYTES, new MetricRegistry());
        mUndecoded = new ByteBudget("undecoded", UNDECODED_MEMORY_BYTES, new MetricRegistry());
        mMemory = new CallerMemory(new CallerBudgets(mHeads, mBodies, mUndecoded), mClock);
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
        assertThat(hold(5)).as("another head").isTrue();
        assertThat(mClosed).containsExactly(1, 2);
    }

    @Test
    public void aRequestTakesNoMoreMemoryWhenItHasItsResponseOrItsConnectionIsLost() {
        ReceiveMemory connection = mMemory.newConnection(() -> {});
        connection.headBegun();
        connection.take(HEAD_BYTES);
        connection.headComplete();
        assertThat(mHeads.usedBytes()).isGreaterThanOrEqualTo(HEAD_BYTES);
        connection.releaseRequest();
        connection.releaseRequest();
        assertThat(mHeads.usedBytes()).isZero();
        connection.take(HEAD_BYTES);
        connection.holdUndecoded(UNDECODED_MEMORY_BYTES);
        connection.releaseAll();
        connection.releaseAll();
        assertThat(mHeads.usedBytes() + mUndecoded.usedBytes()).isZero();
    }

    /** Guards against a stalled head that is given up for itself and keeps its memory. */
    @Test
    public void aStalledHeadThatIsGivenUpForItsOwnBytesHoldsNothing() {
        ReceiveMemory connection = mMemory.newConnection(() -> mClosed.add(1));
        connection.headBegun();
        connection.take(HEAD_BYTES);
        mClock.advance(STALLED_MILLISECONDS);
        assertThat(connection.take(HEAD_MEMORY_BYTES - HEAD_BYTES / 2)).isFalse();
        assertThat(mClosed).containsExactly(1);
        assertThat(mHeads.usedBytes()).isZero();
    }

    /** The load: many connections whose bytes may not be decoded yet. */
    @Test
    public void undecodedBytesBeyondTheMemoryAreRefusedAndReleased() {
        ReceiveMemory first = mMemory.newConnection(() -> {});
        ReceiveMemory second = mMemory.newConnection(() -> {});
        assertThat(first.holdUndecoded(UNDECODED_MEMORY_BYTES)).isTrue();
        assertThat(second.holdUndecoded(1)).isFalse();
        first.holdUndecoded(UNDECODED_MEMORY_BYTES - 1);
        assertThat(second.holdUndecoded(1)).isTrue();
        assertThat(first.holdUndecoded(UNDECODED_MEMORY_BYTES)).isFalse();
        assertThat(mUndecoded.usedBytes()).isOne();
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

    private boolean hold(int number) {
        ReceiveMemory connection = mMemory.newConnection(() -> mClosed.add(number));
        connection.headBegun();
        boolean held = connection.take(HEAD_BYTES);
        if (!held) {
            connection.releaseAll();
        }
        return held;
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
