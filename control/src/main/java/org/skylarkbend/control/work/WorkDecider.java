package org.skylarkbend.control.work;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.skylarkbend.catalog.EndpointWork;
import org.skylarkbend.limits.RouterIdentity;

/**
 * Aggregates the in-flight work of all gateways per endpoint.
 *
 * <p>Each gateway chooses endpoints on its own and sees only its own calls. Without the aggregate,
 * several gateways send long prompts to the same engine at the same time. Confined to one task.
 */
public final class WorkDecider {
    /** A gateway without a report for this long is dropped; gateways report every 500 ms. */
    static final long GATEWAY_TIMEOUT_MILLISECONDS = 1_200;

    private final Map<RouterIdentity, GatewayReport> mReports = new LinkedHashMap<>();

    /** The latest report of a gateway and its time of arrival. */
    private record GatewayReport(Map<String, EndpointWork> work, long atMilliseconds) {}

    /** Replaces the in-flight work of one gateway. */
    public void update(
            RouterIdentity gateway, Map<String, EndpointWork> work, long nowMilliseconds) {
        mReports.put(gateway, new GatewayReport(Map.copyOf(work), nowMilliseconds));
    }

    /** Drops the reports of all gateways. */
    public void clear() {
        mReports.clear();
    }

    /**
     * Drops gateways that have timed out. Returns for each remaining gateway the in-flight work of
     * all others, by endpoint.
     */
    public Map<RouterIdentity, Map<String, EndpointWork>> workOfOthers(long nowMilliseconds) {
        Map<String, EndpointWork> sum = totalWork(nowMilliseconds);
        Map<RouterIdentity, Map<String, EndpointWork>> workOfOthers = new LinkedHashMap<>();
        mReports.forEach(
                (gateway, report) -> workOfOthers.put(gateway, subtract(sum, report.work())));
        return workOfOthers;
    }

    /**
     * Drops gateways that have timed out. Returns the in-flight work of all remaining gateways
     * together, by endpoint.
     */
    public Map<String, EndpointWork> totalWork(long nowMilliseconds) {
        mReports.values()
                .removeIf(
                        report ->
                                nowMilliseconds - report.atMilliseconds()
                                        > GATEWAY_TIMEOUT_MILLISECONDS);
        Map<String, EndpointWork> sum = new HashMap<>();
        mReports.values()
                .forEach(
                        report ->
                                report.work()
                                        .forEach(
                                                (endpoint, work) ->
                                                        sum.merge(
                                                                endpoint,
                                                                work,
                                                                EndpointWork::plus)));
        return sum;
    }

    private static Map<String, EndpointWork> subtract(
            Map<String, EndpointWork> sum, Map<String, EndpointWork> subtrahend) {
        Map<String, EndpointWork> difference = new HashMap<>();
        sum.forEach(
                (endpoint, work) -> {
                    EndpointWork remaining =
                            work.minus(subtrahend.getOrDefault(endpoint, EndpointWork.none()));
                    if (!remaining.equals(EndpointWork.none())) {
                        difference.put(endpoint, remaining);
                    }
                });
        return difference;
    }
}
