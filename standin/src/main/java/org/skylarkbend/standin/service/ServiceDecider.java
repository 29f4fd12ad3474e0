package org.skylarkbend.standin.service;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.standin.service.ServiceEffect.CloseConnection;
import org.skylarkbend.standin.service.ServiceEffect.RespondNotRun;
import org.skylarkbend.standin.service.ServiceEffect.RespondRan;
import org.skylarkbend.standin.service.ServiceEffect.SendNoResponse;

/** Decides how a fake service handles each call, and counts the runs. */
public final class ServiceDecider {
    private final SortedMap<String, Long> mRunsByCall = new TreeMap<>();
    private ServiceFaults mFaults = ServiceFaults.none();

    /** Handles a call and returns the action to take. */
    public ServiceEffect decide(ServiceCall call) {
        if (mFaults.refuse()) {
            return new RespondNotRun();
        }
        if (mFaults.closeBeforeRun()) {
            return new CloseConnection();
        }
        long run = mRunsByCall.merge(call.key(), 1L, Long::sum);
        if (mFaults.closeAfterRun()) {
            return new CloseConnection();
        }
        if (mFaults.hangAfterRun()) {
            return new SendNoResponse();
        }
        return new RespondRan(call, run, mFaults.delayMilliseconds());
    }

    /** Replaces the active faults. */
    public void changeFaults(ServiceFaults faults) {
        mFaults = faults;
    }

    /** Returns the active faults. */
    public ServiceFaults faults() {
        return mFaults;
    }

    /** Returns the number of runs of each call. */
    public Map<String, Long> runsByCall() {
        return Map.copyOf(mRunsByCall);
    }

    /** Returns the total number of runs. */
    public long totalRuns() {
        return mRunsByCall.values().stream().mapToLong(Long::longValue).sum();
    }
}
