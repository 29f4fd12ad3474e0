package org.skylarkbend.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.skylarkbend.standin.engine.EngineEffect.OrderOutcome;
import org.skylarkbend.standin.engine.EngineMessage.Order;
import org.skylarkbend.standin.engine.EngineMessage.OrderKind;

/** The versions of an engine, and the highest fencing number received. */
final class VersionTable {
    private final EngineOptions mOptions;
    private final Map<String, Long> mReadyAtMilliseconds = new LinkedHashMap<>();
    private String mActive;
    private long mLastFencingNumber;

    VersionTable(EngineOptions options) {
        mOptions = options;
        options.versions().forEach(version -> mReadyAtMilliseconds.put(version, Long.MIN_VALUE));
        mActive = options.versions().get(0);
    }

    OrderOutcome apply(Order order, long nowMilliseconds) {
        if (mOptions.checksFencing() && order.fencingNumber() < mLastFencingNumber) {
            return OrderOutcome.OLD_FENCING_NUMBER;
        }
        mLastFencingNumber = Math.max(mLastFencingNumber, order.fencingNumber());
        if (order.kind() == OrderKind.LOAD_VERSION) {
            mReadyAtMilliseconds.putIfAbsent(
                    order.version(), nowMilliseconds + mOptions.loadMilliseconds());
            return OrderOutcome.ACCEPTED;
        }
        if (!isLoaded(order.version(), nowMilliseconds)) {
            return OrderOutcome.NOT_LOADED;
        }
        if (order.kind() == OrderKind.ACTIVATE_VERSION) {
            mActive = order.version();
        } else {
            mReadyAtMilliseconds.remove(order.version());
        }
        return OrderOutcome.ACCEPTED;
    }

    boolean isLoaded(String version, long nowMilliseconds) {
        Long readyAtMilliseconds = mReadyAtMilliseconds.get(version);
        return readyAtMilliseconds != null && readyAtMilliseconds <= nowMilliseconds;
    }

    List<String> loaded(long nowMilliseconds) {
        List<String> loaded = new ArrayList<>(mReadyAtMilliseconds.keySet());
        loaded.removeIf(version -> !isLoaded(version, nowMilliseconds));
        return loaded;
    }

    OptionalLong nextReadyMilliseconds(long nowMilliseconds) {
        return mReadyAtMilliseconds.values().stream()
                .mapToLong(Long::longValue)
                .filter(at -> at > nowMilliseconds)
                .min();
    }

    String active() {
        return mActive;
    }

    long lastFencingNumber() {
        return mLastFencingNumber;
    }
}
