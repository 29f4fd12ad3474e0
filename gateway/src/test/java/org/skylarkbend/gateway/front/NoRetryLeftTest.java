package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.Map;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests silent endpoints of a service whose retry budget is empty. */
public class NoRetryLeftTest extends GatewayFixture {
    private static final long SILENCE_MILLISECONDS = 2_500;

    @Override
    protected double retryBudgetCapacity() {
        return 0;
    }

    /** Guards against a sound stream that is ended although no retry may follow. */
    @Test
    public void aSilentStreamIsKeptAndNoOtherEndpointIsAsked() throws Exception {
        FakeEndpoint silent =
                new FakeEndpoint("silent", SilentEndpoints.streamingWithASilence(mVertx));
        FakeEndpoint other = new FakeEndpoint("other", SilentEndpoints.resumingAfter(mVertx, 0));
        Map<String, String> headers =
                Map.of(
                        SilentEndpoints.SILENCE_HEADER,
                        SilentEndpoints.silence(SILENCE_MILLISECONDS));
        Response response = callBeside(CallKind.STREAM, silent, other, headers);
        assertThat(response.body()).contains(SilentEndpoints.events(1));
        assertThat(other.heads()).isEmpty();
    }

    /** Guards against a response that is given up although no retry may follow. */
    @Test
    public void aSilentCallIsKeptAndNoOtherEndpointIsAsked() throws Exception {
        FakeEndpoint silent =
                new FakeEndpoint("silent", SilentEndpoints.respondingAfter(mVertx, 700, "done"));
        FakeEndpoint other =
                new FakeEndpoint("other", FakeEndpoint.respondingWith(200, "not allowed"));
        Response response = callBeside(CallKind.REPEATABLE, silent, other, Map.of());
        assertThat(response.body()).contains("done");
        assertThat(other.heads()).isEmpty();
    }

    private Response callBeside(
            CallKind kind, FakeEndpoint silent, FakeEndpoint other, Map<String, String> headers)
            throws Exception {
        await(silent.listen(mVertx));
        await(other.listen(mVertx));
        publish(Routes.of(kind, 3, kind == CallKind.STREAM), silent);
        Future<Response> response = send(headers);
        awaitUntil(() -> silent.heads().size() == 1);
        publish(Routes.of(kind, 3, kind == CallKind.STREAM), silent, other);
        return await(response);
    }
}
