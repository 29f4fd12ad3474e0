package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Customer;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.quarantine.PromptPart;
import org.testng.annotations.Test;

/** Tests which calls count as repetitions of one another. */
public class CallFingerprintTest {
    private static final String BODY = "{\"a\":1,\"b\":2}";

    @Test
    public void aRepetitionWithAnotherIdAndOtherHeadersHasTheSameParts() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("ACCEPT", "*/*");
        assertThat(parts(call("c2", "a.example", "one", headers), BODY)).isEqualTo(first());
    }

    /** Guards against one call that counts as two since its host is spelled in another case. */
    @Test
    public void aRepetitionWithTheHostInAnotherCaseHasTheSameParts() {
        assertThat(parts(call("c2", "A.Example", "one", noHeaders()), BODY)).isEqualTo(first());
    }

    /** Guards against answers to one customer that clear a call of another one. */
    @Test
    public void theSameCallOfAnotherCustomerSharesThePartsOfItsContentOnly() {
        List<PromptPart> other = parts(call("c2", "a.example", "two", noHeaders()), BODY);
        assertThat(other).isNotEqualTo(first());
        assertThat(Collections.disjoint(other, first())).as("shares the content").isFalse();
    }

    @Test
    public void aCallWithAnotherBodySharesNoPart() {
        List<PromptPart> other = parts(call("c2", "a.example", "one", noHeaders()), "{}");
        assertThat(Collections.disjoint(other, first())).isTrue();
    }

    @Test
    public void theBodyIsNotNeededAnyMoreOnceItIsReleased() {
        Buffer[] body = {Buffer.buffer(BODY)};
        CallFingerprint fingerprint =
                new CallFingerprint(call("c2", "a.example", "one", noHeaders()), () -> body[0]);
        fingerprint.bodyReleased();
        body[0] = null;
        assertThat(fingerprint.parts()).isEqualTo(first());
    }

    private static List<PromptPart> first() {
        return parts(call("c1", "a.example", "one", noHeaders()), BODY);
    }

    private static List<PromptPart> parts(CallRequest call, String body) {
        return new CallFingerprint(call, () -> Buffer.buffer(body)).parts();
    }

    private static MultiMap noHeaders() {
        return MultiMap.caseInsensitiveMultiMap();
    }

    private static CallRequest call(String id, String host, String customer, MultiMap headers) {
        return new CallRequest(
                id,
                HttpMethod.POST,
                "/x",
                host,
                headers,
                Routes.of(CallKind.ONCE, 1, false),
                "desk",
                Optional.of(customer(customer)),
                Optional.empty(),
                0,
                2_000,
                1);
    }

    private static Customer customer(String name) {
        return new Customer(name, List.of(), OptionalInt.empty(), false, 0, 0, 1);
    }
}
