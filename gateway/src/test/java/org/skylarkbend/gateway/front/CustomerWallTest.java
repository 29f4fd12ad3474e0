package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests the scope of cached prompt parts in what reaches endpoints. */
public class CustomerWallTest extends GatewayFixture {
    private static final Map<String, String> WHOLE =
            Map.of("Model", "m", "Tokens", "100,10", "Parts", "a:50,b:50");

    @Override
    protected boolean isIsolated() {
        return true;
    }

    /** Guards against cached parts of an isolated customer that calls of others find. */
    @Test
    public void everyCallOfAnIsolatedCustomerHasItsScopeWhateverItsHeadersAre() throws Exception {
        FakeEndpoint fake = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "x"));
        await(fake.listen(mVertx));
        Endpoint listed = fake.listed();
        Endpoint engine =
                new Endpoint(
                        listed.id(),
                        listed.service(),
                        listed.host(),
                        listed.port(),
                        "z",
                        "v1",
                        6,
                        false,
                        1,
                        Map.of("m", 3L));
        publish(Routes.of(CallKind.REPEATABLE, 1, false), engine);
        for (String absent : List.of("", "Model", "Tokens", "Parts")) {
            Map<String, String> headers = new HashMap<>(WHOLE);
            headers.remove(absent);
            assertScope(fake, headers);
        }
        assertScope(fake, Map.of());
        assertScope(fake, Map.of("Parts", "a:50,b:50"));
        assertScope(fake, Map.of("Model", "m", "Tokens", "many", "Parts", "a:x,,b"));
        assertScope(fake, Map.of("Cache-Scope", "shared-3", "Parts", "a:50,b:50"));
        assertScope(fake, Map.of("Connection", "Cache-Scope", "Parts", "a:50,b:50"));
    }

    private void assertScope(FakeEndpoint endpoint, Map<String, String> headers) throws Exception {
        assertThat(call(headers).status()).as("%s", headers).isEqualTo(200);
        Map<String, String> head = endpoint.heads().get(endpoint.heads().size() - 1);
        assertThat(head.get("cache-scope")).as("%s", headers).startsWith("only-one-").contains("3");
    }
}
