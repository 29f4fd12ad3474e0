package org.skylarkbend.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long an unused connection can be kept.
 *
 * @param milliseconds the time; 0 if it cannot be kept
 */
record KeepAlive(long milliseconds) {
    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,9})");

    /**
     * Returns what a response says about its connection.
     *
     * @param response head of the response
     * @param isEndedByConnection true if nothing but the end of the connection ends its body
     * @param standardMilliseconds time if the response names none; 0 if none is kept
     */
    static KeepAlive of(
            HttpResponse response, boolean isEndedByConnection, long standardMilliseconds) {
        boolean endsConnection = isEndedByConnection || !HttpUtil.isKeepAlive(response);
        if (standardMilliseconds == 0 || endsConnection) {
            return new KeepAlive(0);
        }
        String header = response.headers().get("Keep-Alive");
        Matcher named = TIMEOUT.matcher(header == null ? "" : header);
        return named.find()
                ? new KeepAlive(TimeUnit.SECONDS.toMillis(Long.parseLong(named.group(1))))
                : new KeepAlive(standardMilliseconds);
    }

    boolean isKept() {
        return milliseconds > 0;
    }
}
