package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests which pauses of a stream are too long, without waiting for them. */
public class SilenceTimerTest {
    private static final long EVENT_PAUSE_MILLISECONDS = 1_500;
    private static final int EVENTS = 1_000;

    private int mSilences;

    /** Guards against a limit that cuts slow but sound streams. */
    @Test
    public void aStreamWithAnEventShortlyBeforeEachPauseEndsIsKept() {
        Timers timers = new Timers();
        mSilences = 0;
        SilenceTimer timer =
                new SilenceTimer(
                        timers.vertx(), Routes.of(CallKind.STREAM, 2, true), () -> mSilences++);
        timer.restart(false);
        for (int i = 0; i < EVENTS; i++) {
            timers.advance(EVENT_PAUSE_MILLISECONDS * 9 / 10);
            assertThat(mSilences).isZero();
            timer.restart(true);
        }
        timers.advance(EVENT_PAUSE_MILLISECONDS - 1);
        assertThat(mSilences).isZero();
        timers.advance(1);
        assertThat(mSilences).isOne();
    }

    /** Timers that run when the test advances the time. */
    private static final class Timers {
        private final Map<Long, Timer> mTimers = new HashMap<>();
        private long mNowMilliseconds;
        private long mLastId;

        private record Timer(long atMilliseconds, Handler<Long> handler) {}

        /** Returns an instance that has timers and nothing else. */
        Vertx vertx() {
            return (Vertx)
                    Proxy.newProxyInstance(
                            Vertx.class.getClassLoader(),
                            new Class<?>[] {Vertx.class},
                            (proxy, method, arguments) ->
                                    method.getName().equals("setTimer")
                                            ? set((Long) arguments[0], arguments[1])
                                            : cancel(method.getName(), (Long) arguments[0]));
        }

        @SuppressWarnings("unchecked")
        private long set(long milliseconds, Object handler) {
            long atMilliseconds = mNowMilliseconds + milliseconds;
            mTimers.put(++mLastId, new Timer(atMilliseconds, (Handler<Long>) handler));
            return mLastId;
        }

        private boolean cancel(String method, long id) {
            assertThat(method).isEqualTo("cancelTimer");
            return mTimers.remove(id) != null;
        }

        void advance(long milliseconds) {
            mNowMilliseconds += milliseconds;
            for (Map.Entry<Long, Timer> entry : List.copyOf(mTimers.entrySet())) {
                if (entry.getValue().atMilliseconds() <= mNowMilliseconds) {
                    mTimers.remove(entry.getKey());
                    entry.getValue().handler().handle(entry.getKey());
                }
            }
        }
    }
}
