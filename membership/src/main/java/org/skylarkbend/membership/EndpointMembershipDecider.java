package org.skylarkbend.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.membership.MembershipMessage.EndpointsConfigured;
import org.skylarkbend.membership.MembershipMessage.Failed;
import org.skylarkbend.membership.MembershipMessage.ListRead;
import org.skylarkbend.membership.MembershipMessage.ReportReceived;
import org.skylarkbend.membership.MembershipMessage.ResponseReceived;

/**
 * Decides from all evidence which endpoints may receive new work.
 *
 * <p>An endpoint that reported that it is leaving remains leaving until a newer incarnation
 * reports, regardless of lists, which may be stale. A list older than one already read is ignored.
 * New work stops as soon as one kind of evidence excludes the endpoint; the others need not agree.
 */
public final class EndpointMembershipDecider {
    private final MembershipThresholds mThresholds;
    private final Map<ObjectName, EndpointHealth> mHealth = new HashMap<>();
    private final Map<ObjectName, EndpointCondition> mConditions = new HashMap<>();
    private Set<ObjectName> mListedLeaving = Set.of();
    private long mListGeneration = Long.MIN_VALUE;

    /** Creates a decider without endpoints. */
    public EndpointMembershipDecider(MembershipThresholds thresholds) {
        mThresholds = thresholds;
    }

    /** Processes evidence and returns the resulting changes. */
    public List<MembershipEffect> decide(MembershipMessage message, long nowMilliseconds) {
        List<MembershipEffect> effects = new ArrayList<>();
        if (message instanceof ReportReceived report) {
            applyReport(report, nowMilliseconds, effects);
            updateCondition(report.endpoint(), nowMilliseconds, effects);
        } else if (message instanceof ResponseReceived response) {
            mHealth.computeIfPresent(
                    response.endpoint(),
                    (name, health) -> health.responseReceived(nowMilliseconds));
            updateCondition(response.endpoint(), nowMilliseconds, effects);
        } else if (message instanceof Failed failed) {
            mHealth.computeIfPresent(failed.endpoint(), (name, health) -> health.failed());
            updateCondition(failed.endpoint(), nowMilliseconds, effects);
        } else {
            decideForAll(message, nowMilliseconds, effects);
        }
        return List.copyOf(effects);
    }

    private void decideForAll(
            MembershipMessage message, long nowMilliseconds, List<MembershipEffect> effects) {
        if (message instanceof EndpointsConfigured configured) {
            setEndpoints(configured.endpoints(), nowMilliseconds);
        } else if (message instanceof ListRead list) {
            applyList(list);
        }
        mHealth.keySet().forEach(name -> updateCondition(name, nowMilliseconds, effects));
    }

    /**
     * Returns the condition of an endpoint, which is {@code DEAD} if the endpoint is not
     * configured.
     */
    public EndpointCondition conditionOf(ObjectName endpoint) {
        return mConditions.getOrDefault(endpoint, EndpointCondition.DEAD);
    }

    private void setEndpoints(Set<ObjectName> endpoints, long nowMilliseconds) {
        mHealth.keySet().retainAll(endpoints);
        mConditions.keySet().retainAll(endpoints);
        for (ObjectName endpoint : endpoints) {
            boolean leaving = mListedLeaving.contains(endpoint);
            mHealth.putIfAbsent(endpoint, EndpointHealth.initial(leaving, nowMilliseconds));
        }
    }

    private void applyList(ListRead list) {
        if (list.generation() < mListGeneration) {
            return;
        }
        mListGeneration = list.generation();
        mListedLeaving = list.leaving();
        mHealth.replaceAll((name, health) -> health.listed(mListedLeaving.contains(name)));
    }

    private void applyReport(
            ReportReceived report, long nowMilliseconds, List<MembershipEffect> effects) {
        EndpointHealth known = mHealth.get(report.endpoint());
        if (known == null
                || known.isOfFormerIncarnation(
                        report.incarnation(), nowMilliseconds, mThresholds)) {
            return;
        }
        boolean restarted =
                known.incarnation().isPresent()
                        && known.incarnation().getAsLong() != report.incarnation();
        if (restarted) {
            effects.add(new MembershipEffect.Restarted(report.endpoint(), report.incarnation()));
        }
        mHealth.put(
                report.endpoint(),
                known.reported(report.incarnation(), report.leaving(), nowMilliseconds));
    }

    private void updateCondition(
            ObjectName endpoint, long nowMilliseconds, List<MembershipEffect> effects) {
        EndpointHealth health = mHealth.get(endpoint);
        if (health == null) {
            return;
        }
        EndpointCondition now = health.conditionAt(nowMilliseconds, mThresholds);
        EndpointCondition before = mConditions.put(endpoint, now);
        if (before != null && before != now) {
            effects.add(new MembershipEffect.ConditionChanged(endpoint, before, now));
        }
    }
}
