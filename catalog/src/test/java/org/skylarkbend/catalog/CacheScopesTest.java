package org.skylarkbend.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the scopes of cached prompt parts. */
public class CacheScopesTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final List<String> NAMES = List.of("a", "b", "c", "d");

    /** Guards against parts that a customer made before a change isolated it. */
    @Test
    public void noCallFindsPartsOfACustomerThatItsCatalogIsolates() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            new Schedule(seed).run();
        }
    }

    /** Guards against two customers, or a customer and the shared scope, with the same text. */
    @Test
    public void eachIsolatedCustomerHasAScopeThatNoOtherCallHas() {
        List<String> names =
                List.of("a", "a-1", "a%2D1", "a,b", "a b", "a+b", "客", "戶", "?", "", "shared");
        Set<String> scopes = new HashSet<>();
        for (String name : names) {
            CacheScopes all = CacheScopes.of(List.of(customer(name, true)));
            assertThat(scopes.add(all.of(Optional.of(customer(name, true))))).as(name).isTrue();
            assertThat(scopes.add(all.shared())).as("without " + name).isTrue();
        }
        CacheScopes two = CacheScopes.of(List.of(customer("a", true), customer("b", true)));
        assertThat(scopes.add(two.shared())).isTrue();
        assertThat(scopes).allMatch(scope -> scope.matches("[!-~]+"));
    }

    @Test
    public void theSharedScopeDependsOnlyOnWhoIsIsolated() {
        CacheScopes scopes =
                CacheScopes.of(
                        List.of(customer("b", true), customer("c", false), customer("a", true)));
        CacheScopes otherOrder =
                CacheScopes.of(
                        List.of(customer("a", true), customer("b", true), customer("d", false)));
        assertThat(scopes.shared()).isEqualTo(otherOrder.shared());
        assertThat(scopes.of(Optional.empty())).isEqualTo(scopes.shared());
    }

    @Test
    public void withoutIsolatedCustomersTheSharedScopeHasNoDigest() {
        assertThat(CacheScopes.of(List.of(customer("a", false))).shared()).isEqualTo("shared");
    }

    /** Guards against a call that a change finds queued, and that goes out with the old scope. */
    @Test
    public void aCallOfACustomerThatEitherCatalogIsolatesGetsItsOwnScope() {
        CacheScopes open = CacheScopes.of(List.of(customer("a", false)));
        CacheScopes closed = CacheScopes.of(List.of(customer("a", true)));
        String own = closed.of(Optional.of(customer("a", true)));
        assertThat(closed.of(Optional.of(customer("a", false)))).isEqualTo(own);
        assertThat(open.of(Optional.of(customer("a", true)))).isEqualTo(own);
    }

    private static Customer customer(String name, boolean isIsolated) {
        return new Customer(name, List.of(), OptionalInt.empty(), isIsolated, 0, 0, 1);
    }

    /**
     * Random changes of the customers, which gateways receive late, in part or after a restart, and
     * calls at these gateways.
     */
    private static final class Schedule {
        private static final int GATEWAYS = 4;

        private final int mSeed;
        private final Random mRandom;
        private final Map<String, Set<String>> mMakersByScope = new HashMap<>();
        private final List<List<Customer>> mCatalogs = new ArrayList<>();
        private final int[] mCatalogOfGateway = new int[GATEWAYS];

        Schedule(int seed) {
            mSeed = seed;
            mRandom = new Random(seed);
            mCatalogs.add(NAMES.stream().map(name -> customer(name, false)).toList());
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                int gateway = mRandom.nextInt(GATEWAYS);
                switch (mRandom.nextInt(8)) {
                    case 0 -> mCatalogs.add(changed());
                    case 1, 2 -> mCatalogOfGateway[gateway] = mCatalogs.size() - 1;
                    default -> call(mCatalogs.get(mCatalogOfGateway[gateway]));
                }
            }
        }

        /** Returns customers of which each may be dropped, opened or isolated. */
        private List<Customer> changed() {
            return NAMES.stream()
                    .filter(name -> mRandom.nextInt(4) > 0)
                    .map(name -> customer(name, mRandom.nextBoolean()))
                    .toList();
        }

        private void call(List<Customer> customers) {
            if (customers.isEmpty()) {
                return;
            }
            Customer caller = customers.get(mRandom.nextInt(customers.size()));
            String scope = CacheScopes.of(customers).of(Optional.of(caller));
            Set<String> makers = mMakersByScope.computeIfAbsent(scope, key -> new HashSet<>());
            for (Customer maker : customers) {
                boolean isOther = !maker.name().equals(caller.name());
                if (isOther && (maker.isolated() || caller.isolated())) {
                    assertThat(makers).as("seed %d", mSeed).doesNotContain(maker.name());
                }
            }
            if (caller.isolated()) {
                assertThat(makers).as("seed %d", mSeed).isSubsetOf(Set.of(caller.name()));
            }
            makers.add(caller.name());
        }
    }
}
