package org.skylarkbend.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.testng.annotations.Test;

/**
 * Tests the selection of endpoints for prefixes whose home endpoint is idle, busy or overloaded.
 */
public class PrefixCostPolicyTest {
    private static final int ENDPOINTS = 4;
    private static final double BUSY_TOKENS = 30_000;
    private static final double OVERLOADED_TOKENS = 60_000;
    private static final long NOW_MILLISECONDS = 1_000;

    private final PlacementRequest mRequest = request(1);

    @Test
    public void aColdPrefixWaitsAtABusyHomeButNotAtAnOverloadedOne() {
        PrefixCostPolicy policy = policyAfter(2, 400);
        int home = policy.choose(mRequest, loads(-1, 0), NOW_MILLISECONDS);
        assertThat(policy.choose(mRequest, loads(home, BUSY_TOKENS), NOW_MILLISECONDS))
                .isEqualTo(home);
        assertThat(policy.choose(mRequest, loads(home, OVERLOADED_TOKENS), NOW_MILLISECONDS))
                .isNotEqualTo(home);
    }

    @Test
    public void aHotPrefixHasMoreHomesAndLeavesABusyOne() {
        PrefixCostPolicy policy = policyAfter(1, 1);
        int home = policy.choose(mRequest, loads(-1, 0), NOW_MILLISECONDS);
        assertThat(policy.choose(mRequest, loads(home, BUSY_TOKENS), NOW_MILLISECONDS))
                .isNotEqualTo(home);
    }

    /** Returns a policy after 400 requests that cycle through the given number of prefixes. */
    private static PrefixCostPolicy policyAfter(int firstPrefix, int prefixes) {
        PrefixCostPolicy policy = new PrefixCostPolicy(PlacementParameters.defaults());
        for (int i = 0; i < 400; i++) {
            policy.choose(request(firstPrefix + i % prefixes), loads(-1, 0), NOW_MILLISECONDS);
        }
        return policy;
    }

    private static PlacementRequest request(long prefix) {
        PrefixChain chain =
                new PrefixChain(BlockHashes.of(prefix, prefix + 1_000, prefix + 2_000), 8_000);
        CacheScope scope = CacheScope.of(ObjectName.of("c1"), "w", "");
        return new PlacementRequest(
                ObjectName.of("p"), ObjectName.of("v1"), scope, chain, 0, 100, Set.of());
    }

    private static CandidateTable loads(int busyCandidate, double busyTokens) {
        return new CandidateTable() {
            @Override
            public int count() {
                return ENDPOINTS;
            }

            @Override
            public ObjectName endpoint(int candidate) {
                return ObjectName.of("e" + candidate);
            }

            @Override
            public long endpointHash(int candidate) {
                return CacheScope.hashOfText("e" + candidate);
            }

            @Override
            public int cachedBlocks(int candidate) {
                return 0;
            }

            @Override
            public double backlogTokens(int candidate) {
                return candidate == busyCandidate ? busyTokens : 0;
            }

            @Override
            public int openRequests(int candidate) {
                return 0;
            }
        };
    }
}
