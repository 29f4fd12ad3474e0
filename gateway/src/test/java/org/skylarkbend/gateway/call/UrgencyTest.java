package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.testng.annotations.Test;

/** Tests the priority of calls at an engine. */
public class UrgencyTest {
    /**
     * Number of prompt tokens that an engine processes within the target latency of the route, 100
     * ms.
     */
    private static final long TARGET_TOKENS = 3_000;

    @Test
    public void thePriorityOfACustomerOverridesThatOfTheRoute() {
        assertThat(Urgency.of(call(OptionalInt.of(3)), choice(0)).level()).isEqualTo(3);
        assertThat(Urgency.of(call(OptionalInt.empty()), choice(0)).level()).isZero();
    }

    @Test
    public void aCallThatWillMissItsTargetComesAfterThoseThatCanMeetTheirs() {
        Urgency inTime = Urgency.of(call(OptionalInt.of(3)), choice(TARGET_TOKENS / 2));
        Urgency late = Urgency.of(call(OptionalInt.of(0)), choice(TARGET_TOKENS));
        assertThat(late.level()).isGreaterThan(inTime.level());
    }

    /** Guards against urgent calls that are served after all others because of an estimate. */
    @Test
    public void aCallThatIsExpectedToBeLateKeepsItsPriority() {
        assertThat(Urgency.of(call(OptionalInt.of(0)), expected(5_000)).level()).isZero();
        assertThat(Urgency.of(call(OptionalInt.of(7)), expected(5_000)).level()).isEqualTo(7);
    }

    private static EngineChoice expected(long firstEventMilliseconds) {
        return choice(0, OptionalLong.of(firstEventMilliseconds));
    }

    private static EngineChoice choice(long tokensAhead) {
        return choice(tokensAhead, OptionalLong.empty());
    }

    private static EngineChoice choice(long tokensAhead, OptionalLong firstEventMilliseconds) {
        Endpoint endpoint =
                new Endpoint("e", "desk", "10.0.0.1", 80, "z", "v1", 64, false, 1, Map.of("m", 1L));
        return new EngineChoice(
                endpoint,
                OptionalLong.of(1),
                Optional.empty(),
                Optional.empty(),
                500,
                tokensAhead,
                0,
                false,
                firstEventMilliseconds);
    }

    private static CallRequest call(OptionalInt priority) {
        Customer customer = new Customer("one", List.of(), priority, false, 0, 0, 1);
        return new CallRequest(
                "c1",
                HttpMethod.POST,
                "/x/y",
                "a.example",
                MultiMap.caseInsensitiveMultiMap(),
                Routes.of(CallKind.STREAM, 1, true),
                "desk",
                Optional.of(customer),
                Optional.empty(),
                0,
                2_000,
                1);
    }
}
