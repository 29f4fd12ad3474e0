package org.skylarkbend.testing.crowd;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A call of a caller who behaves, on a connection of its own. */
public final class OrdinaryCall {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private OrdinaryCall() {}

    /** Sends a request and returns the status of its response, or 0 if there is none. */
    public static int statusOf(HttpRequest.Builder request) {
        try {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .build()
                    .send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }
}
