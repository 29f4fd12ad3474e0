package org.skylarkbend.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.skylarkbend.testing.Waits.await;

import com.codahale.metrics.Counter;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalLong;
import org.skylarkbend.catalog.CallKind;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.exchange.EndpointClient;
import org.skylarkbend.exchange.EndpointDialer;
import org.skylarkbend.exchange.ExchangeOptions;
import org.skylarkbend.exchange.ResponseStart;
import org.skylarkbend.gateway.FakeEndpoint;
import org.skylarkbend.gateway.ListedEndpoint;
import org.skylarkbend.gateway.Routes;
import org.skylarkbend.gateway.endpoints.EngineChoice;
import org.skylarkbend.intake.CallBoundary;
import org.skylarkbend.testing.RawServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an attempt reports about its request. */
public class AttemptTest {
    private Vertx mVertx;

    @BeforeMethod
    public void createVertx() {
        mVertx = Vertx.vertx();
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() throws Exception {
        await(mVertx.close());
    }

    /** Guards against a call that counts as one that may have run although nothing was sent. */
    @Test
    public void aRequestThatCannotBeEncodedWasNotSent() throws Exception {
        RawServer server = new RawServer(mVertx, (request, socket) -> socket.close());
        Endpoint endpoint = ListedEndpoint.of("e", await(server.listen()));
        AbortedAttempt aborted = new AbortedAttempt();
        Attempt attempt = new Attempt(choice(endpoint), aborted, new CallBoundary("c1", () -> {}));
        mVertx.getOrCreateContext().runOnContext(ignored -> start(attempt, "/x \r\nX: y"));
        AttemptOutcome outcome = await(aborted.mOutcome.future());
        assertThat(outcome.isSent()).isFalse();
        assertThat(outcome.mayHaveRun()).isFalse();
        assertThat(outcome).as("no fault of the endpoint").isEqualTo(AttemptOutcome.WITHDRAWN);
        assertThat(attempt.isSent()).isFalse();
        assertThat(server.requests()).isEmpty();
    }

    private void start(Attempt attempt, String uri) {
        CallRequest call =
                new CallRequest(
                        "c1",
                        HttpMethod.POST,
                        uri,
                        "a.example",
                        MultiMap.caseInsensitiveMultiMap(),
                        Routes.of(CallKind.ONCE, 1, false),
                        "desk",
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        2_000,
                        1);
        EndpointClient client =
                new EndpointClient(
                        mVertx,
                        EndpointDialer.direct(mVertx, 10_000),
                        new ExchangeOptions(1, 10_000, 5_000, 1_024),
                        () -> 0,
                        new Counter());
        attempt.start(
                client,
                FakeEndpoint.NAMES,
                new Attempt.Content(
                        call,
                        Buffer.buffer("body"),
                        new Urgency(0),
                        "shared",
                        Optional.empty(),
                        2_000));
    }

    private static EngineChoice choice(Endpoint endpoint) {
        return new EngineChoice(
                endpoint,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                0,
                false,
                OptionalLong.empty());
    }

    /** Listener of an attempt that sends nothing. */
    private static final class AbortedAttempt implements Attempt.Listener {
        private final Promise<AttemptOutcome> mOutcome = Promise.promise();

        @Override
        public boolean isStillWanted(Attempt attempt) {
            return true;
        }

        @Override
        public void bodySent(Attempt attempt) {
            mOutcome.fail("the request was sent");
        }

        @Override
        public void headReceived(Attempt attempt, ResponseStart response) {
            mOutcome.fail("there was a response");
        }

        @Override
        public void chunk(Attempt attempt, Buffer chunk) {
            mOutcome.fail("there was a response");
        }

        @Override
        public void ended(Attempt attempt) {
            mOutcome.fail("there was a response");
        }

        @Override
        public void aborted(Attempt attempt, AttemptOutcome outcome, String cause) {
            mOutcome.complete(outcome);
        }
    }
}
