package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the choice of endpoints for calls. */
public class PlacementTest {
    private static final int LONG_CHARACTERS = 30_000;

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(10_000, 2_000);
        for (int i = 0; i < 3; i++) {
            mFixture.endpoint(
                    (request, socket) ->
                            socket.write(FakeResponses.stream(request.attempt(), 0, "fits")));
        }
        mFixture.publish();
    }

    @AfterMethod
    public void stopRouter() {
        mFixture.close();
    }

    private void sendChat(String manual) {
        String body =
                "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + manual
                        + "\"}]}";
        HttpRequest.Builder request =
                mFixture.to("/v1/chat/completions")
                        .header("Authorization", "Bearer " + RouterFixture.KEY)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        assertThat(mFixture.send(request).statusCode()).isEqualTo(200);
    }

    @Test
    public void aLongPromptReturnsToTheEngineThatHoldsItsPrefix() {
        for (int i = 0; i < 6; i++) {
            sendChat("m".repeat(LONG_CHARACTERS) + i);
        }
        assertThat(mFixture.endpoints().stream().map(e -> e.requests().size()))
                .containsExactlyInAnyOrder(6, 0, 0);
    }

    @Test
    public void aLeavingEndpointGetsNoNewWorkAndAnOlderListDoesNotBringItBack() {
        sendChat("m".repeat(LONG_CHARACTERS));
        FakeEndpoint holder =
                mFixture.endpoints().stream()
                        .filter(e -> !e.requests().isEmpty())
                        .findFirst()
                        .get();
        mFixture.publishPlatformList(7, "engine-" + holder.port());
        int requestedBefore = mFixture.platformListRequests();
        RouterFixture.awaitTrue(() -> mFixture.platformListRequests() >= requestedBefore + 3);
        int sent = 1;
        while (holder.requests().size() == sent) {
            sendChat("m".repeat(LONG_CHARACTERS));
            sent++;
        }
        int before = holder.requests().size();
        mFixture.publishPlatformList(6, "");
        int requested = mFixture.platformListRequests();
        while (mFixture.platformListRequests() < requested + 3) {
            sendChat("m".repeat(LONG_CHARACTERS));
        }
        sendChat("m".repeat(LONG_CHARACTERS));
        assertThat(holder.requests()).hasSize(before);
    }
}
