package org.skylarkbend.router.front;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.router.HttpHeader;

/**
 * Extracts the caller's API key from a request and ensures that it is not forwarded to endpoints.
 *
 * <p>Only allowlisted headers are forwarded, and query parameters that usually contain a key are
 * removed. A request that contains the key anywhere else is refused.
 */
final class CallerCredential {
    private static final String BEARER = "bearer ";
    private static final Set<String> FORWARDED_HEADERS =
            Set.of(
                    "accept",
                    "accept-language",
                    "content-type",
                    "idempotency-key",
                    "if-match",
                    "if-none-match",
                    "tracestate");
    private static final Set<String> KEY_PARAMETERS =
            Set.of("key", "api_key", "api-key", "apikey", "access_token", "token", "authorization");

    private CallerCredential() {}

    /** Returns the API key of the request, if any. */
    static Optional<String> keyOf(CallerRequest request) {
        Optional<String> bearer =
                request.header("Authorization")
                        .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER))
                        .map(value -> value.substring(BEARER.length()).trim());
        return bearer.or(() -> request.header("x-api-key")).filter(key -> !key.isEmpty());
    }

    /** Returns the digest of the key, in the form used by published sets. */
    static Optional<String> digestOf(Optional<String> key) {
        return key.map(Sha256::hexOf);
    }

    /** Returns the headers that are forwarded to the endpoint. */
    static List<HttpHeader> forwardedHeaders(CallerRequest request) {
        return request.headers().stream()
                .filter(
                        header ->
                                FORWARDED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
                .toList();
    }

    /** Returns the path and query that are forwarded to the endpoint. */
    static String forwardedUri(CallerRequest request) {
        List<String> forwarded = new ArrayList<>();
        for (String parameter : request.query().split("&")) {
            String name = decoded(parameter.split("=", 2)[0]).toLowerCase(Locale.ROOT);
            if (!parameter.isEmpty() && !KEY_PARAMETERS.contains(name)) {
                forwarded.add(parameter);
            }
        }
        return forwarded.isEmpty()
                ? request.path()
                : request.path() + "?" + String.join("&", forwarded);
    }

    /** Returns whether the key occurs in the URI, headers or body to be forwarded. */
    static boolean containsKey(String key, CallerRequest request) {
        String uri = forwardedUri(request);
        if (uri.contains(key) || decoded(uri).contains(key)) {
            return true;
        }
        boolean inHeader =
                forwardedHeaders(request).stream().anyMatch(header -> header.value().contains(key));
        return inHeader || contains(request.body(), key.getBytes(StandardCharsets.UTF_8));
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    private static boolean contains(byte[] body, byte[] key) {
        int last = body.length - key.length;
        for (int start = 0; start <= last; start++) {
            int matched = 0;
            while (matched < key.length && body[start + matched] == key[matched]) {
                matched++;
            }
            if (matched == key.length) {
                return true;
            }
        }
        return false;
    }
}
