package org.skylarkbend.gateway.crashes;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.skylarkbend.quarantine.CrashAnalysis;
import org.skylarkbend.quarantine.CrashEvidence;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.QuarantineMessage;
import org.skylarkbend.quarantine.QuarantineNotice;
import org.skylarkbend.quarantine.QuarantineState;

/**
 * Leader of control with the crash guards of its gateways, without network. Messages are delayed
 * and lost, and leaders are replaced, in an order that the seed determines.
 */
final class SimulatedControl {
    private static final int TICK_MILLISECONDS = 100;

    private final SimulatedTime mTime;
    private final Random mRandom;
    private final List<CrashGuard> mGateways = new ArrayList<>();
    private final Map<PartCombination, Long> mInForceSinceMilliseconds = new HashMap<>();
    private final Map<CrashGuard, Long> mLastDeliveryMilliseconds = new HashMap<>();
    private CrashAnalysis mAnalysis = new CrashAnalysis();
    private QuarantineState mState = QuarantineState.empty();
    private QuarantineNotice mLastNotice = QuarantineNotice.none();
    private boolean mLeads = true;

    SimulatedControl(SimulatedTime time, Random random, int gateways) {
        mTime = time;
        mRandom = random;
        for (int i = 0; i < gateways; i++) {
            String name = "front-" + i;
            mGateways.add(new CrashGuard(evidence -> report(name, evidence), new MetricRegistry()));
        }
    }

    List<CrashGuard> gateways() {
        return mGateways;
    }

    /** Runs the timers of the gateways and of the leader, from now on. */
    void tick() {
        mGateways.forEach(gateway -> gateway.reportIfDue(mTime.nowMilliseconds()));
        decide();
        mTime.after(TICK_MILLISECONDS, this::tick);
    }

    /** Replaces the leader by one that knows nothing but the quarantines. */
    void replaceLeader() {
        mLeads = true;
        mAnalysis = new CrashAnalysis();
        mAnalysis.clearReports(mTime.nowMilliseconds());
    }

    /** Loses the leader. Until it is replaced, reports reach nobody. */
    void loseLeader() {
        mLeads = false;
        mAnalysis = new CrashAnalysis();
    }

    private void report(String gateway, CrashEvidence evidence) {
        if (mRandom.nextInt(10) > 0) {
            CrashAnalysis leader = mAnalysis;
            mTime.after(
                    1 + mRandom.nextInt(20),
                    () -> {
                        leader.add(gateway, evidence, mTime.nowMilliseconds());
                        decide();
                    });
        }
    }

    private void decide() {
        if (!mLeads) {
            return;
        }
        long nowMilliseconds = mTime.nowMilliseconds();
        for (PartCombination verdict : mAnalysis.verdicts(mState, nowMilliseconds)) {
            mState = mState.after(new QuarantineMessage.Imposed(verdict), nowMilliseconds);
            mInForceSinceMilliseconds.put(verdict, nowMilliseconds);
        }
        for (PartCombination combination : mState.inForce()) {
            long untilMilliseconds =
                    mInForceSinceMilliseconds.get(combination)
                            + mState.of(combination).orElseThrow().durationMilliseconds();
            if (untilMilliseconds <= nowMilliseconds) {
                mState = mState.after(new QuarantineMessage.Lifted(combination), nowMilliseconds);
                mAnalysis.lifted(combination, nowMilliseconds);
            }
        }
        Set<PromptPart> watched = mAnalysis.watched(mState, nowMilliseconds);
        Map<PartCombination, Long> inForce = new HashMap<>();
        mState.inForce().forEach(combination -> inForce.put(combination, 1L));
        QuarantineNotice notice = new QuarantineNotice(watched, inForce);
        if (!notice.equals(mLastNotice)) {
            mLastNotice = notice;
            mGateways.forEach(gateway -> sendInOrder(gateway, notice));
        }
    }

    /** Delivers a notice after those that were sent before it, as one connection does. */
    private void sendInOrder(CrashGuard gateway, QuarantineNotice notice) {
        long atMilliseconds =
                Math.max(
                        mTime.nowMilliseconds() + 1 + mRandom.nextInt(20),
                        mLastDeliveryMilliseconds.getOrDefault(gateway, 0L));
        mLastDeliveryMilliseconds.put(gateway, atMilliseconds);
        mTime.at(atMilliseconds, () -> gateway.noticeReceived(notice, mTime.nowMilliseconds()));
    }
}
