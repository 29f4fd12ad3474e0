package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.skylarkbend.testing.SeededRuns;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests malformed, oversized and incomplete requests. The router returns a clear error and keeps
 * serving.
 */
public class RequestLimitsTest {
    private static final String CHAT_HEAD =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n";

    private RouterFixture mFixture;
    private RouterFixture mShortTimeouts;

    /** Starts one router with generous bounds and one with short timeouts for slow callers. */
    @BeforeClass
    public void startRouters() {
        mFixture = serving(new RouterFixture());
        mShortTimeouts = serving(new RouterFixture(200, 2_000, true, 300, 500));
    }

    private static RouterFixture serving(RouterFixture fixture) {
        fixture.endpoint(
                (request, socket) ->
                        socket.write(FakeResponses.stream(request.attempt(), 0, "fine")));
        fixture.publish();
        return fixture;
    }

    @AfterClass
    public void stopRouters() {
        mFixture.close();
        mShortTimeouts.close();
    }

    @Test
    public void aBodyOverTheLimitIsRefused() {
        HttpRequest.Builder request =
                mFixture.to("/v1/chat/completions")
                        .POST(HttpRequest.BodyPublishers.ofString("x".repeat(70_000)));
        HttpResponse<String> response = mFixture.send(request);
        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("body_too_large", "not_run");
        assertServesOn(mFixture);
    }

    @Test
    public void headersOverTheLimitAreRefused() {
        String request = CHAT_HEAD + "X-Long: " + "y".repeat(5_000) + "\r\n\r\n";
        assertThat(RawCaller.exchange(mFixture, request)).contains("431", "headers_too_large");
        String line = "GET /" + "z".repeat(5_000) + " HTTP/1.1\r\nHost: router\r\n\r\n";
        assertThat(RawCaller.exchange(mFixture, line)).contains("431", "headers_too_large");
        assertServesOn(mFixture);
    }

    @Test
    public void brokenJsonAndWrongFieldsAreRefusedWithAClearError() {
        assertBadBody("{\"model\":", "not JSON");
        assertBadBody("[]", "not a JSON object");
        assertBadBody("{\"messages\":[]}", "\\\"model\\\"");
        assertBadBody("{\"model\":\"assistant\"}", "\\\"messages\\\"");
        assertBadBody(
                "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\"}],\"max_tokens\":-1}",
                "\\\"max_tokens\\\"");
        assertBadBody("{\"model\":\"a\",\"messages\":" + "[".repeat(3_000), "not JSON");
    }

    @Test
    public void incompleteRequestsAreEndedInTime() {
        String halfBody = CHAT_HEAD + "Content-Length: 100\r\n\r\n{\"model\"";
        assertThat(RawCaller.exchange(mShortTimeouts, halfBody))
                .contains("400", "was not completed in time");
        assertThat(RawCaller.exchange(mShortTimeouts, CHAT_HEAD + "X-Ha")).isEmpty();
        assertThat(RawCaller.exchange(mShortTimeouts, "")).isEmpty();
        assertServesOn(mShortTimeouts);
    }

    @Test
    public void malformedRequestsLeaveTheRouterServing() {
        SeededRuns.forEachSeed(
                1,
                40,
                seed -> {
                    Random random = new Random(seed);
                    char[] corrupted = mFixture.rawChat().toCharArray();
                    for (int i = 0; i < 1 + random.nextInt(8); i++) {
                        corrupted[random.nextInt(corrupted.length)] = (char) random.nextInt(128);
                    }
                    RawCaller.exchange(mShortTimeouts, new String(corrupted) + "\r\n\r\n");
                });
        assertServesOn(mShortTimeouts);
    }

    /** Guards against a prompt that reaches an engine with other bytes than were sent. */
    @Test
    public void aBodyThatIsNoTextIsRefusedWithThePlaceOfTheFirstBadByte() {
        String chat =
                "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"??\"}]}";
        int offset = chat.indexOf('?');
        byte[] body = chat.getBytes(StandardCharsets.UTF_8);
        for (int[] bytes : new int[][] {{0xff, 'a'}, {0xc0, 0xaf}}) {
            body[offset] = (byte) bytes[0];
            body[offset + 1] = (byte) bytes[1];
            assertBadBody(BodyPublishers.ofByteArray(body), "at offset " + offset);
        }
    }

    private void assertBadBody(String body, String detail) {
        assertBadBody(BodyPublishers.ofString(body), detail);
    }

    private void assertBadBody(HttpRequest.BodyPublisher body, String detail) {
        HttpRequest.Builder request =
                mFixture.to("/v1/chat/completions")
                        .header("Authorization", "Bearer " + RouterFixture.KEY)
                        .POST(body);
        HttpResponse<String> response = mFixture.send(request);
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).contains("bad_request", detail);
    }

    /**
     * Checks that the router serves a chat. The connection is new, because a router with short
     * timeouts may just be closing an idle one.
     */
    private static void assertServesOn(RouterFixture fixture) {
        assertThat(RawCaller.exchange(fixture, fixture.rawChat()))
                .contains("200 OK", "data: [DONE]\n\n");
    }
}
