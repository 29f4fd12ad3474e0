package org.skylarkbend.gateway.crashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.quarantine.EndpointCrash;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.SuspectCall;

/**
 * Records the crashes of endpoints, with the calls that waited there.
 *
 * <p>An endpoint has crashed if it breaks connections with waiting calls and then accepts no new
 * connection. A call that had received its first event is no suspect, as the endpoint survived the
 * beginning of its response. Confined to the task that serves the calls.
 */
public final class CrashRecorder {
    private static final StructuredLog LOG = StructuredLog.of(CrashRecorder.class);

    /** Time after a break during which a refused connection shows that the endpoint crashed. */
    private static final long CONFIRM_MILLISECONDS = 1_000;

    /**
     * Time for which a crash is kept, so that a new leader of control can be told about it. It
     * exceeds the time without leader after the loss of one.
     */
    private static final long KEEP_MILLISECONDS = 15_000;

    private static final int MAX_CRASHES = 64;

    /** Calls that are kept over all crashes, which bounds the size of a report. */
    private static final int MAX_CALLS = 4_096;

    private static final int MAX_LOGGED_CALLS = 64;

    /** Calls that waited at an endpoint when its connections broke. */
    private static final class Break {
        private final long mAtMilliseconds;
        private final Map<String, SuspectCall> mCalls = new LinkedHashMap<>();

        Break(long atMilliseconds) {
            mAtMilliseconds = atMilliseconds;
        }

        int size() {
            return mCalls.size();
        }
    }

    private final Map<String, Break> mUnconfirmed = new HashMap<>();
    private final Map<String, Break> mCrashes = new LinkedHashMap<>();

    /**
     * Records that the connection of a waiting call broke. Returns whether the call belongs to a
     * crash that is already known.
     */
    public boolean connectionBroke(Endpoint endpoint, SuspectCall call, long nowMilliseconds) {
        removeOld(nowMilliseconds);
        if (waitedInVain(endpoint, call)) {
            return true;
        }
        add(
                mUnconfirmed.computeIfAbsent(
                        endpoint.incarnation(), key -> new Break(nowMilliseconds)),
                call);
        return false;
    }

    /**
     * Records that a waiting call was taken back from an endpoint. Returns whether the endpoint is
     * known to have crashed; otherwise it was only silent, which says nothing about the call.
     */
    public boolean waitedInVain(Endpoint endpoint, SuspectCall call) {
        Break crash = mCrashes.get(endpoint.incarnation());
        if (crash != null) {
            add(crash, call);
        }
        return crash != null;
    }

    /** Records that an endpoint accepted a connection, so that it did not crash. */
    public void connected(Endpoint endpoint) {
        mUnconfirmed.remove(endpoint.incarnation());
    }

    /**
     * Records that an endpoint accepted no connection. Returns whether this shows that it has
     * crashed.
     */
    public boolean refusedConnection(Endpoint endpoint, long nowMilliseconds) {
        removeOld(nowMilliseconds);
        Break found = mUnconfirmed.remove(endpoint.incarnation());
        if (found == null || mCrashes.size() >= MAX_CRASHES) {
            return false;
        }
        mCrashes.put(endpoint.incarnation(), found);
        LOG.warn(
                "endpoint.crashed",
                "endpoint",
                endpoint.incarnation(),
                "service",
                endpoint.service(),
                "waiting_calls",
                found.mCalls.size(),
                "calls",
                String.join(",", found.mCalls.keySet().stream().limit(MAX_LOGGED_CALLS).toList()),
                "parts",
                partsOf(found),
                "since_break_milliseconds",
                nowMilliseconds - found.mAtMilliseconds);
        return true;
    }

    /** Returns whether any endpoint crashed in the last seconds. */
    public boolean hasCrashes(long nowMilliseconds) {
        removeOld(nowMilliseconds);
        return !mCrashes.isEmpty();
    }

    /** Returns the crashes of the last seconds. */
    public List<EndpointCrash> crashes(long nowMilliseconds) {
        removeOld(nowMilliseconds);
        List<EndpointCrash> crashes = new ArrayList<>();
        mCrashes.forEach(
                (incarnation, crash) ->
                        crashes.add(
                                new EndpointCrash(
                                        incarnation,
                                        nowMilliseconds - crash.mAtMilliseconds,
                                        List.copyOf(crash.mCalls.values()))));
        return crashes;
    }

    private void add(Break found, SuspectCall call) {
        int calls =
                Stream.concat(mUnconfirmed.values().stream(), mCrashes.values().stream())
                        .mapToInt(Break::size)
                        .sum();
        if (calls < MAX_CALLS) {
            found.mCalls.put(call.id(), call);
        }
    }

    private static String partsOf(Break crash) {
        List<String> ids =
                crash.mCalls.values().stream()
                        .limit(MAX_LOGGED_CALLS)
                        .flatMap(call -> call.parts().stream())
                        .map(PromptPart::id)
                        .distinct()
                        .toList();
        return String.join(",", ids);
    }

    private void removeOld(long nowMilliseconds) {
        mUnconfirmed
                .values()
                .removeIf(found -> nowMilliseconds - found.mAtMilliseconds > CONFIRM_MILLISECONDS);
        mCrashes.values()
                .removeIf(crash -> nowMilliseconds - crash.mAtMilliseconds > KEEP_MILLISECONDS);
    }
}
