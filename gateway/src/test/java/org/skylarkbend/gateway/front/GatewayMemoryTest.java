package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.Routes;
import org.testng.annotations.Test;

/** Tests the memory that requests and responses may take over all calls of a gateway. */
public class GatewayMemoryTest extends GatewayFixture {
    private static final int MEMORY_BYTES = 1_000_000;
    private static final int LARGE_BYTES = 700_000;
    private static final int PIECE_BYTES = 16 * 1024;

    /** More than the connections between caller, gateway and endpoint can hold. */
    private static final long MAX_UNREAD_BYTES = 64L * 1024 * 1024;

    @Override
    protected long memoryBytes() {
        return MEMORY_BYTES;
    }

    /** Guards against bodies that are allowed each and exhaust the memory together. */
    @Test
    public void aBodyThatFindsNoRoomIsRefusedWithATimeAndOthersAreServed() throws Exception {
        List<HttpServerRequest> kept = new CopyOnWriteArrayList<>();
        FakeEndpoint endpoint =
                new FakeEndpoint(
                        "e",
                        request -> {
                            if ("kept".equals(request.getHeader("Call-Id"))) {
                                kept.add(request);
                            } else {
                                FakeEndpoint.respondingWith(200, "x").accept(request);
                            }
                        });
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 2, false, 120_000), endpoint);
        Future<Response> first = send(Map.of("Call-Id", "kept"), body(LARGE_BYTES));
        awaitUntil(() -> kept.size() == 1);
        Response refused = await(send(Map.of("Call-Id", "second"), body(LARGE_BYTES)));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.head()).containsKey("retry-after");
        assertThat(refused.body().orElse("")).contains("not_run");
        assertThat(call("small").status()).isEqualTo(200);
        FakeEndpoint.respondingWith(200, "x").accept(kept.get(0));
        assertThat(await(first).status()).isEqualTo(200);
        assertThat(await(send(Map.of("Call-Id", "third"), body(LARGE_BYTES))).status())
                .isEqualTo(200);
        awaitUntil(() -> heldBytes() == 0);
    }

    @Test
    public void aBodyThatIsLargerThanAllOfTheMemoryIsRefusedForGoodAtOnce() throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint("e", FakeEndpoint.respondingWith(200, "x"));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false), endpoint);
        assertThat(await(send(Map.of(), body(MEMORY_BYTES + 1))).status()).isEqualTo(413);
    }

    @Test
    public void aBodyThatWasSentAndCannotBeSentAgainTakesNoRoom() throws Exception {
        List<HttpServerRequest> kept = new CopyOnWriteArrayList<>();
        FakeEndpoint endpoint = new FakeEndpoint("e", kept::add);
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 120_000), endpoint);
        for (int i = 1; i <= 4; i++) {
            int calls = i;
            send(Map.of(), body(LARGE_BYTES));
            awaitUntil(() -> kept.size() == calls && heldBytes() == 0);
        }
    }

    /** Guards against a faulty endpoint whose response has no end, beside sound ones. */
    @Test
    public void responsesWithoutEndAreGivenUpAndSoundOnesAreDelivered() throws Exception {
        FakeEndpoint endpoint =
                new FakeEndpoint(
                        "e",
                        request -> {
                            if (request.getHeader("Call-Id").startsWith("endless")) {
                                sendWithoutEnd(request);
                            } else {
                                FakeEndpoint.respondingWith(200, "x").accept(request);
                            }
                        });
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.ONCE, 1, false, 120_000), endpoint);
        for (int i = 0; i < 20; i++) {
            Future<Response> endless = send(Map.of("Call-Id", "endless-" + i));
            assertThat(call("sound-" + i).status()).isEqualTo(200);
            assertThat(await(endless).status()).isEqualTo(502);
        }
        awaitUntil(() -> heldBytes() == 0);
    }

    /** Guards against a stream that is kept for a caller who does not read it. */
    @Test
    public void aStreamIsReadNoFasterThanItsCallerReadsIt() throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        FakeEndpoint endpoint =
                new FakeEndpoint("e", request -> streamWithoutEnd(request, sentBytes));
        await(endpoint.listen(mVertx));
        publish(Routes.of(CallKind.STREAM, 1, false, 120_000), endpoint);
        await(
                request(Map.of())
                        .compose(
                                request ->
                                        request.send(Buffer.buffer("body"))
                                                .onSuccess(response -> response.pause())));
        long[] lastBytes = {-1};
        awaitUntil(
                () -> {
                    boolean isStalled = sentBytes.get() == lastBytes[0];
                    lastBytes[0] = sentBytes.get();
                    assertThat(sentBytes.get()).isLessThan(MAX_UNREAD_BYTES);
                    return isStalled && sentBytes.get() > 0;
                });
    }

    private long heldBytes() {
        return mMetrics.counter("gateway_held_bytes").getCount();
    }

    private static Buffer body(int bytes) {
        return Buffer.buffer(new byte[bytes]);
    }

    private static void sendWithoutEnd(HttpServerRequest request) {
        HttpServerResponse response = head(request, 500);
        sendMore(response);
    }

    private static void sendMore(HttpServerResponse response) {
        response.write(body(PIECE_BYTES)).onSuccess(ignored -> sendMore(response));
    }

    private static void streamWithoutEnd(HttpServerRequest request, AtomicLong sentBytes) {
        HttpServerResponse response = head(request, 200);
        streamMore(response, sentBytes);
    }

    private static void streamMore(HttpServerResponse response, AtomicLong sentBytes) {
        Buffer event =
                Buffer.buffer("data: ").appendBytes(new byte[PIECE_BYTES]).appendString("\n\n");
        response.write(event)
                .onSuccess(
                        ignored -> {
                            sentBytes.addAndGet(event.length());
                            streamMore(response, sentBytes);
                        });
    }

    private static HttpServerResponse head(HttpServerRequest request, int status) {
        return request.response()
                .setStatusCode(status)
                .setChunked(true)
                .putHeader("Call-Id", String.valueOf(request.getHeader("Call-Id")))
                .putHeader("Seal", "seal");
    }
}
