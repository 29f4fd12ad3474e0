package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.CallerLimits;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests the admission of calls. */
public class ServingStateTest {
    private static final Customer CUSTOMER =
            new Customer("one", List.of("digest"), OptionalInt.empty(), false, 0, 0, 1);

    @Test
    public void aCallWithTheKeyOfACustomerIsAdmittedAsItsCall() {
        assertThat(kind(List.of(CUSTOMER), "/x/y", Optional.of("digest"))).isEmpty();
    }

    @Test
    public void aCallWithoutAKnownKeyIsRefused() {
        assertThat(kind(List.of(CUSTOMER), "/x/y", Optional.of("other")))
                .contains(ErrorKind.KEY_REFUSED);
        assertThat(kind(List.of(CUSTOMER), "/x/y", Optional.empty()))
                .contains(ErrorKind.KEY_REFUSED);
    }

    @Test
    public void whereThereAreNoCustomersNoKeyIsNeeded() {
        assertThat(kind(List.of(), "/x/y", Optional.empty())).isEmpty();
    }

    @Test
    public void aPathWithoutRouteIsRefusedBeforeItsKeyIsLookedAt() {
        assertThat(kind(List.of(CUSTOMER), "/z", Optional.empty()))
                .contains(ErrorKind.ROUTE_UNKNOWN);
    }

    private static Optional<ErrorKind> kind(
            List<Customer> customers, String path, Optional<String> digest) {
        Catalog catalog =
                new Catalog(
                        1,
                        List.of(Routes.of(CallKind.REPEATABLE, 1, false)),
                        Map.of(),
                        customers,
                        CallerLimits.defaults());
        return ServingState.of(catalog)
                .admit("a.example", path, digest)
                .fold(admission -> Optional.empty(), error -> Optional.of(error.kind()));
    }
}
