package org.skylarkbend.gateway.outcomes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.VersionSplit;
import org.skylarkbend.moves.OutcomeWindow;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.moves.rollout.RolloutOutcomes;

/**
 * Counts calls and their outcomes for the leader, for services whose calls are divided between
 * versions. Confined to the task that serves the calls.
 */
public final class OutcomeRecorder {
    /** Stands for a route whose name is not valid as the name of an object. */
    private static final ObjectName OTHER_ROUTE = ObjectName.of("other");

    private final Consumer<RolloutOutcomes> mLeader;
    private final Map<String, ServiceCounts> mCounts = new HashMap<>();

    /** Counts of one service since the last report. */
    private static final class ServiceCounts {
        private final VersionSplit mSplit;
        private final Map<ObjectName, OutcomeWindow> mWindows = new TreeMap<>();
        private long mSentToOthers;
        private long mSentToVersion;

        ServiceCounts(VersionSplit split) {
            mSplit = split;
        }

        boolean isEmpty() {
            return mSentToOthers + mSentToVersion == 0 && mWindows.isEmpty();
        }

        RolloutOutcomes toReport() {
            return new RolloutOutcomes(
                    mSplit.service(),
                    mSplit.version(),
                    mSentToOthers,
                    mSentToVersion,
                    List.copyOf(mWindows.values()));
        }
    }

    /**
     * Creates a recorder for no service.
     *
     * @param leader sends a report to the leader, without guaranteed delivery
     */
    public OutcomeRecorder(Consumer<RolloutOutcomes> leader) {
        mLeader = leader;
    }

    /** Replaces the services whose calls are divided. */
    public void splitsChanged(List<VersionSplit> splits) {
        Map<String, ServiceCounts> known = new HashMap<>(mCounts);
        mCounts.clear();
        for (VersionSplit split : splits) {
            ServiceCounts counts = known.get(split.service());
            boolean isSame = counts != null && counts.mSplit.version().equals(split.version());
            mCounts.put(split.service(), isSame ? counts : new ServiceCounts(split));
        }
    }

    /** Records that a call was sent to an endpoint. */
    public void sent(Endpoint endpoint) {
        ServiceCounts counts = mCounts.get(endpoint.service());
        if (counts == null) {
            return;
        }
        if (counts.mSplit.isVersionOf(endpoint)) {
            counts.mSentToVersion++;
        } else {
            counts.mSentToOthers++;
        }
    }

    /**
     * Records a response.
     *
     * @param endpoint the endpoint that responded
     * @param route the name of the call's route
     * @param firstEventMilliseconds the time from the request to the first event or the whole
     *     response
     */
    public void succeeded(Endpoint endpoint, String route, long firstEventMilliseconds) {
        List<Integer> counts = new ArrayList<>(Outcomes.none().firstTokenCounts());
        int index = 0;
        List<Long> bounds = Outcomes.FIRST_TOKEN_BOUNDS_MILLISECONDS;
        while (index < bounds.size() && firstEventMilliseconds > bounds.get(index)) {
            index++;
        }
        counts.set(index, 1);
        record(endpoint, route, new Outcomes(1, 0, 0, counts));
    }

    /** Records that an endpoint failed a call that it may have run. */
    public void failed(Endpoint endpoint, String route) {
        record(endpoint, route, new Outcomes(1, 1, 0, Outcomes.none().firstTokenCounts()));
    }

    /** Sends a report of each service that had calls since the last one. */
    public void report() {
        for (Map.Entry<String, ServiceCounts> entry : mCounts.entrySet()) {
            ServiceCounts counts = entry.getValue();
            if (!counts.isEmpty()) {
                mLeader.accept(counts.toReport());
                entry.setValue(new ServiceCounts(counts.mSplit));
            }
        }
    }

    private void record(Endpoint endpoint, String route, Outcomes outcome) {
        ServiceCounts counts = mCounts.get(endpoint.service());
        if (counts == null) {
            return;
        }
        ObjectName name = ObjectName.isValid(route) ? ObjectName.of(route) : OTHER_ROUTE;
        boolean isVersion = counts.mSplit.isVersionOf(endpoint);
        OutcomeWindow window =
                new OutcomeWindow(
                        name,
                        isVersion ? Outcomes.none() : outcome,
                        isVersion ? outcome : Outcomes.none());
        counts.mWindows.merge(name, window, OutcomeWindow::plus);
    }
}
