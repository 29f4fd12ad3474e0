package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests endpoints that send the beginning of a second response, cut at any byte, on a connection
 * that is kept for the next call.
 */
public class JoinedResponsesTest {
    private static final String FIRST = "/stock/first";
    private static final String NEXT = "/stock/next";
    private static final String BODY = "done";
    private static final String FAILURE = "fail";
    private static final String ATTEMPT = "entry-1-19a0b0c0d0e-1.1";

    /** An incomplete head is waited for until this time has passed. */
    private static final long SILENCE_MILLISECONDS = 300;

    /** Maximum number of responses to other calls in front of one. */
    private static final int MAX_SKIPPED = 4;

    private RouterFixture mFixture;

    @BeforeMethod
    public void startRouter() {
        mFixture = new RouterFixture(SILENCE_MILLISECONDS, 2 * SILENCE_MILLISECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopRouter() {
        mFixture.close();
    }

    @DataProvider
    private Object[][] responses() {
        return new Object[][] {
            {"with the attempt first", response("", "ETag: first\r\nContent-Length: 4\r\n", BODY)},
            {"with the attempt last", response("Content-Length: 4\r\nETag: first\r\n", "", BODY)},
            {
                "in chunks",
                response(
                        "ETag: first\r\n",
                        "Transfer-Encoding: chunked\r\n",
                        "4\r\ndone\r\n0\r\n\r\n")
            }
        };
    }

    private static UnaryOperator<String> response(String before, String behind, String body) {
        return attempt ->
                "HTTP/1.1 200 OK\r\n"
                        + before
                        + "X-Skylark-Attempt: "
                        + attempt
                        + "\r\n"
                        + behind
                        + "\r\n"
                        + body;
    }

    /** Guards against a success whose status is that of an earlier call and whose body is not. */
    @Test(dataProvider = "responses")
    public void theBeginningOfASecondResponseInFrontOfTheNextIsNeverPartOfIt(
            String name, UnaryOperator<String> response) {
        AtomicInteger cutBytes = new AtomicInteger();
        AtomicReference<FakeRequest> first = new AtomicReference<>();
        assertNoneIsJoined(
                response,
                cutBytes,
                (request, socket) -> {
                    if (request.uri().equals(FIRST)) {
                        first.set(request);
                        socket.write(response.apply(request.attempt()));
                    } else {
                        String copy = response.apply(first.get().attempt());
                        socket.write(copy.substring(0, cutBytes.get()) + failure(request));
                    }
                });
    }

    /** Guards against a success whose status is that of an earlier call and whose body is not. */
    @Test(dataProvider = "responses")
    public void theBeginningOfASecondResponseRightAfterTheFirstIsNeverPartOfTheNext(
            String name, UnaryOperator<String> response) {
        AtomicInteger cutBytes = new AtomicInteger();
        assertNoneIsJoined(
                response,
                cutBytes,
                (request, socket) -> {
                    if (request.uri().equals(FIRST)) {
                        String copy = response.apply(request.attempt());
                        socket.write(copy + copy.substring(0, cutBytes.get()));
                    } else {
                        socket.write(failure(request));
                    }
                });
        assertThat(mFixture.send(mFixture.to("/metrics").GET()).body())
                .containsPattern("skylarkbend_forward_stray_receptions [1-9]");
    }

    /** Guards against an attempt that ends although its own response follows. */
    @Test(dataProvider = "responses")
    public void wholeResponsesToAnotherCallInFrontOfTheNextAreSkipped(
            String name, UnaryOperator<String> response) {
        AtomicInteger copies = new AtomicInteger();
        FakeEndpoint endpoint = mFixture.endpoint(copiesInFrontOfTheNext(response, copies));
        mFixture.publish();
        for (int count = 1; count <= MAX_SKIPPED; count++) {
            copies.set(count);
            int before = endpoint.requests().size();
            assertThat(mFixture.send(request(FIRST)).body()).isEqualTo(BODY);
            HttpResponse<String> next = mFixture.send(request(NEXT));
            assertThat(next.statusCode()).as("%d copies", count).isEqualTo(404);
            assertThat(next.body()).isEqualTo(FAILURE);
            assertThat(next.headers().firstValue("ETag")).isEmpty();
            assertThat(endpoint.requests()).as("sent once each").hasSize(before + 2);
        }
        assertThat(endpoint.connections()).isEqualTo(1);
    }

    /** Guards against responses to other calls that are read without end. */
    @Test(dataProvider = "responses")
    public void anAttemptEndsBehindTooManyResponsesToAnotherCall(
            String name, UnaryOperator<String> response) {
        AtomicInteger copies = new AtomicInteger(MAX_SKIPPED + 1);
        FakeEndpoint endpoint = mFixture.endpoint(copiesInFrontOfTheNext(response, copies));
        mFixture.publish();
        assertThat(mFixture.send(request(FIRST)).body()).isEqualTo(BODY);
        HttpResponse<String> next = mFixture.send(request(NEXT));
        assertThat(next.statusCode()).isEqualTo(502);
        assertThat(next.body()).contains("may_have_run");
        assertThat(endpoint.requests()).as("repeated once, on a new connection").hasSize(3);
    }

    private static FakeEndpoint.Script copiesInFrontOfTheNext(
            UnaryOperator<String> response, AtomicInteger copies) {
        AtomicReference<FakeRequest> first = new AtomicReference<>();
        return (request, socket) -> {
            if (request.uri().equals(FIRST)) {
                first.set(request);
                socket.write(response.apply(request.attempt()));
            } else {
                String copy = response.apply(first.get().attempt());
                socket.write(copy.repeat(copies.get()) + failure(request));
            }
        };
    }

    private void assertNoneIsJoined(
            UnaryOperator<String> response, AtomicInteger cutBytes, FakeEndpoint.Script script) {
        mFixture.endpoint(script);
        mFixture.publish();
        List<String> wrong = new ArrayList<>();
        for (int bytes = 1; bytes < response.apply(ATTEMPT).length(); bytes++) {
            cutBytes.set(bytes);
            assertThat(mFixture.send(request(FIRST)).body())
                    .as("response before %d bytes", bytes)
                    .isEqualTo(BODY);
            HttpResponse<String> next = mFixture.send(request(NEXT));
            if (!isTrue(next)) {
                wrong.add(bytes + " bytes: " + next.statusCode() + " " + next.body());
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Returns whether a response is the endpoint's failure as it is, or an error of the router. */
    private static boolean isTrue(HttpResponse<String> response) {
        return response.statusCode() == 404
                ? response.body().equals(FAILURE) && response.headers().firstValue("ETag").isEmpty()
                : response.statusCode() >= 500 && response.body().contains("may_have_run");
    }

    private HttpRequest.Builder request(String path) {
        return mFixture.to(path).header("Authorization", "Bearer " + RouterFixture.KEY).GET();
    }

    private static String failure(FakeRequest request) {
        return "HTTP/1.1 404 Unknown\r\nX-Skylark-Attempt: "
                + request.attempt()
                + "\r\nContent-Length: 4\r\n\r\n"
                + FAILURE;
    }
}
