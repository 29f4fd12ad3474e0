package org.skylarkbend.gateway.front;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.skylarkbend.base.MillisecondClock;

/**
 * Clock and metrics of a gateway that throw an exception, once, at a chosen use of them by a
 * request or call. The periodic work of the gateway meets no fault.
 */
final class PlantedFault {
    private static final List<String> CALL_FRAMES =
            List.of(
                    "org.skylarkbend.gateway.call.GatewayCall",
                    "org.skylarkbend.gateway.front.BodyIntake$Reading");
    private static final String TASK_FRAME = "org.skylarkbend.gateway.front.GatewayTask";
    private static final List<String> TASK_METHODS = List.of("receive", "begin", "serve");

    private final MillisecondClock mClock = MillisecondClock.monotonic();
    private int mUsesLeft;

    /** Plants the exception at the given use from now on, counted from 1. */
    synchronized void plantAt(int use) {
        mUsesLeft = use;
    }

    /** Removes a planted exception. Returns whether there was still one. */
    synchronized boolean remove() {
        boolean wasPlanted = mUsesLeft > 0;
        mUsesLeft = 0;
        return wasPlanted;
    }

    MillisecondClock clock() {
        return () -> {
            use();
            return mClock.nowMilliseconds();
        };
    }

    MetricRegistry metrics() {
        return new MetricRegistry() {
            @Override
            public Counter counter(String name) {
                use();
                return super.counter(name);
            }

            @Override
            public Histogram histogram(String name) {
                use();
                return super.histogram(name);
            }
        };
    }

    private synchronized void use() {
        if (mUsesLeft > 0 && isUsedByCall() && --mUsesLeft == 0) {
            throw new IllegalStateException("planted");
        }
    }

    private static boolean isUsedByCall() {
        return StackWalker.getInstance().walk(frames -> frames.anyMatch(frame -> isOfCall(frame)));
    }

    private static boolean isOfCall(StackWalker.StackFrame frame) {
        boolean isInTask =
                frame.getClassName().startsWith(TASK_FRAME)
                        && TASK_METHODS.stream().anyMatch(frame.getMethodName()::contains);
        return isInTask || CALL_FRAMES.stream().anyMatch(frame.getClassName()::startsWith);
    }
}
