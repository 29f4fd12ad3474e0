package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.testing.RawClient;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests heads of requests and events of streams with unusual content: no step fails on them. */
public class OddHeadsTest extends GatewayFixture {
    private static final String HOST = "Host: a.example\r\n";
    private static final String LINE = "POST /x/y HTTP/1.1\r\n";

    @DataProvider
    private Object[] oddHeads() {
        String nines = "9".repeat(400);
        return List.of(
                        LINE,
                        LINE + HOST + HOST,
                        LINE + "Host: \r\n",
                        LINE + "Host: :::\r\n",
                        LINE + "Host: \u00e4\u00ff\r\n",
                        LINE + HOST + "Model: \u00e4\u0001\r\n",
                        LINE + HOST + "Model:\r\nParts:\r\nTokens:\r\n",
                        LINE + HOST + "Model: m\r\nParts: :\r\n",
                        LINE + HOST + "Model: m\r\nParts: ,,:5,a:,a:b:c,a:-1,a:1\r\n",
                        LINE + HOST + "Parts: a:999999999,b:999999999,a:999999999\r\n",
                        LINE + HOST + "Parts: a:" + nines + "\r\n",
                        LINE + HOST + "Parts: \u00e4:1,\u00fc:2\r\n",
                        LINE + HOST + "Tokens: 999999999,999999999\r\n",
                        LINE + HOST + "Tokens: 0,0\r\n",
                        LINE + HOST + "Tokens: " + nines + ",1\r\n",
                        LINE + HOST + "Wait-Milliseconds: 0\r\n",
                        LINE + HOST + "Wait-Milliseconds: -1\r\n",
                        LINE + HOST + "Wait-Milliseconds: " + nines + "\r\n",
                        LINE + HOST + "Authorization: Bearer\r\n",
                        LINE + HOST + "Authorization: Bearer \u00e4\r\n",
                        LINE + HOST + "Call-Id: \u00e4\u0001\r\n",
                        LINE + HOST + "Call-Id: a\r\nCall-Id: b\r\n",
                        LINE + HOST + "Last-Event-Id: \u0001\r\n",
                        LINE + HOST + "X-Odd: \u0001\u00ff\r\n",
                        LINE + HOST + "Connection: ,,a b,\u00e4,\r\n",
                        "POST * HTTP/1.1\r\n" + HOST,
                        "POST x HTTP/1.1\r\n" + HOST,
                        "POST http://a.example HTTP/1.1\r\n" + HOST,
                        "POST http://a.example/x/y?a#b HTTP/1.1\r\n" + HOST,
                        "POST /x/%zz?%%&&== HTTP/1.1\r\n" + HOST,
                        "POST //x//y/../ HTTP/1.1\r\n" + HOST,
                        "POST /x/\u00e4 HTTP/1.1\r\n" + HOST,
                        "ODD /x/y HTTP/1.1\r\n" + HOST,
                        "CONNECT a.example:80 HTTP/1.1\r\n" + HOST,
                        "OPTIONS * HTTP/1.1\r\n" + HOST)
                .toArray();
    }

    /**
     * Guards against a head on which a step of the call fails, so that its caller gets no true
     * answer.
     */
    @Test(dataProvider = "oddHeads")
    public void anOddHeadIsServedOrRefusedAndNoStepFailsOnIt(String head) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", FakeEndpoint.streaming(2, true));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 2, true, 2_000), endpoint);
        RawClient caller = await(RawClient.connect(mVertx, mPort));
        String key = head.contains("Authorization") ? "" : "Authorization: Bearer secret\r\n";
        String id = head.contains("Call-Id") ? "" : "Call-Id: odd\r\n";
        await(caller.send(head + key + id + "Content-Length: 4\r\n\r\nbody"));
        awaitUntil(() -> caller.received().contains("\r\n\r\n") || caller.isClosed());
        assertThat(caller.received()).startsWith("HTTP/1.1 ").doesNotContain("internal");
        awaitUntil(() -> mMetrics.counter("gateway_held_bytes").getCount() == 0);
    }

    @DataProvider
    private Object[] oddIds() {
        return new Object[] {
            "\u0000", "\u0001", "a\u000bb", "\u00e4", "\u20ac", "a\rb", "x".repeat(9_000)
        };
    }

    /** Guards against an ID of an event that fails a step, or is sent on as another one. */
    @Test(dataProvider = "oddIds")
    public void aStreamWhoseLastIdIsOddIsResumedAtThatIdOrCutAtOnce(String id) throws Exception {
        String events = "id: " + id + "\ndata: 1\n\nda";
        FakeEndpoint endpoint = new FakeEndpoint("e", request -> breakAfter(events, request));
        FakeEndpoint other = new FakeEndpoint("f", request -> breakAfter(events, request));
        await(endpoint.listen(mVertx));
        await(other.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 3, true, 120_000), endpoint, other);
        assertThat(call().status()).isEqualTo(200);
        List<String> ids =
                Stream.concat(endpoint.heads().stream(), other.heads().stream())
                        .map(head -> head.get("last-event-id"))
                        .filter(Objects::nonNull)
                        .toList();
        assertThat(ids).allMatch(id.trim()::equals);
        assertThat(mMetrics.counter("gateway_calls_internal").getCount()).isZero();
        awaitUntil(() -> mMetrics.counter("gateway_held_bytes").getCount() == 0);
    }

    private static void breakAfter(String events, HttpServerRequest request) {
        request.response()
                .setChunked(true)
                .putHeader("Call-Id", request.getHeader("Call-Id"))
                .putHeader("Seal", "seal")
                .write(events)
                .onComplete(done -> request.connection().close());
    }
}
