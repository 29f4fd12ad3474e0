package org.skylarkbend.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests differences between lists of endpoints. */
public class EndpointsTest {
    private static final Endpoint FIRST = endpoint("a", 1);
    private static final Endpoint SECOND = endpoint("b", 1);

    @Test
    public void aDifferenceNamesOnlyWhatChanged() {
        Endpoints older = new Endpoints(List.of(FIRST, SECOND), Set.of());
        Endpoints newer = new Endpoints(List.of(FIRST, endpoint("b", 2)), Set.of("a@5"));
        Endpoints.Difference difference = older.differenceTo(newer);
        assertThat(difference.changed()).containsExactly(endpoint("b", 2));
        assertThat(difference.removed()).isEmpty();
        assertThat(difference.loading()).containsExactly("a@5");
    }

    @Test
    public void aListAfterTheDifferenceToAnotherListEqualsThatList() {
        Endpoints older = new Endpoints(List.of(FIRST, SECOND), Set.of("b@5"));
        Endpoints newer = new Endpoints(List.of(endpoint("b", 2), endpoint("c", 1)), Set.of());
        Endpoints after = older.after(older.differenceTo(newer));
        assertThat(after.endpoints()).containsExactlyInAnyOrderElementsOf(newer.endpoints());
        assertThat(after.loading()).isEmpty();
    }

    private static Endpoint endpoint(String id, long version) {
        return new Endpoint(
                id, "desk", "10.0.0.1", 80, "z", "v1", 16, false, 5, Map.of("m", version));
    }
}
