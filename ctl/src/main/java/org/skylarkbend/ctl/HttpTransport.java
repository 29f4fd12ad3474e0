package org.skylarkbend.ctl;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.Utf8;

/**
 * Sends requests over HTTP to each control VM in turn until the leader has responded. Each request
 * has a connection of its own: responses do not say to which request they belong, and on a kept
 * connection an earlier one could be received again.
 */
final class HttpTransport implements ControlTransport, AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final long RESPONSE_TIMEOUT_MILLISECONDS = 15_000;
    private static final int HTTP_TEMPORARY_REDIRECT = 307;
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private final OperatorSettings mSettings;
    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient;

    HttpTransport(OperatorSettings settings) {
        mSettings = settings;
        mClient =
                mVertx.createHttpClient(
                        new HttpClientOptions()
                                .setKeepAlive(false)
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    @Override
    public Result<ControlResponse> send(ControlRequest request) {
        Result<ControlResponse> last =
                Result.failure(ErrorKind.CONNECTION_FAILED, "no control VM is configured");
        for (String address : mSettings.controls()) {
            last = sendTo("http://" + address, request);
            if (last.fold(
                    controlResponse -> controlResponse.httpStatus() != HTTP_SERVICE_UNAVAILABLE,
                    error -> false)) {
                return last;
            }
        }
        return last;
    }

    @Override
    public void close() {
        mVertx.close();
    }

    private Result<ControlResponse> sendTo(String address, ControlRequest request) {
        try {
            Future<ControlResponse> controlResponse =
                    mClient.request(optionsOf(address + request.path(), request))
                            .compose(outgoing -> exchange(outgoing, request));
            return Result.success(
                    controlResponse.await(RESPONSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            return Result.failure(ErrorKind.COMMIT_UNKNOWN, address + " did not respond in time");
        } catch (Exception e) {
            return Result.failure(
                    ErrorKind.CONNECTION_FAILED,
                    address + ": the request failed: " + e.getMessage());
        }
    }

    private RequestOptions optionsOf(String url, ControlRequest request) {
        RequestOptions options = new RequestOptions().setAbsoluteURI(url);
        options.setMethod(HttpMethod.valueOf(request.method()));
        options.putHeader("Authorization", "Bearer " + mSettings.credential());
        request.headers().forEach(options::putHeader);
        return options;
    }

    private Future<ControlResponse> exchange(HttpClientRequest outgoing, ControlRequest request) {
        return outgoing.send(Buffer.buffer(request.body()))
                .compose(response -> controlResponse(response, request));
    }

    /** Follows the redirect of a follower to the leader, at most once. */
    private Future<ControlResponse> controlResponse(
            HttpClientResponse response, ControlRequest request) {
        String location = response.getHeader("Location");
        if (response.statusCode() != HTTP_TEMPORARY_REDIRECT || location == null) {
            return response.body().compose(body -> decode(response.statusCode(), body));
        }
        return mClient.request(optionsOf(location, request))
                .compose(outgoing -> outgoing.send(Buffer.buffer(request.body())))
                .compose(
                        leaderResponse ->
                                leaderResponse
                                        .body()
                                        .compose(body -> decode(statusOf(leaderResponse), body)));
    }

    private static Future<ControlResponse> decode(int httpStatus, Buffer body) {
        return Utf8.decode(body.getBytes(), ErrorKind.CONNECTION_FAILED)
                .fold(
                        text -> Future.succeededFuture(new ControlResponse(httpStatus, text)),
                        error -> Future.failedFuture("the response is " + error.detail()));
    }

    /** Maps a second redirect to 503, because the leader is changing. */
    private static int statusOf(HttpClientResponse response) {
        return response.statusCode() == HTTP_TEMPORARY_REDIRECT
                ? HTTP_SERVICE_UNAVAILABLE
                : response.statusCode();
    }
}
