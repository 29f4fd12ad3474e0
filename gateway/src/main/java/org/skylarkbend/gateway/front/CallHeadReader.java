package org.skylarkbend.gateway.front;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.Sha256;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.gateway.endpoints.Prompt;

/** Parses the request headers and selects the headers that are forwarded. */
final class CallHeadReader {
    private static final String BEARER = "Bearer ";
    private static final long DEFAULT_TIMEOUT_MILLISECONDS = 600_000;

    /**
     * Headers that are specific to a connection (hop-by-hop), or that the gateway sets or consumes
     * itself.
     */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length",
                    "host",
                    "authorization");

    private final HeaderNames mNames;

    CallHeadReader(HeaderNames names) {
        mNames = names;
    }

    /** Returns the ID that the caller gave to a request; empty if it gave none. */
    String id(HttpServerRequest request) {
        String id = request.getHeader(mNames.requestId());
        return id == null ? "" : id;
    }

    /** Returns the SHA-256 digest of the caller's key. */
    Optional<String> keyDigest(MultiMap headers) {
        String value = headers.get("Authorization");
        if (value == null || !value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        String key = value.substring(BEARER.length()).trim();
        return Optional.of(Sha256.hexOf(key));
    }

    /**
     * Returns the time until the caller gives up, or a long default if the header is absent or
     * malformed.
     */
    long timeoutMilliseconds(MultiMap headers) {
        String value = headers.get(mNames.deadline());
        boolean isNumber = value != null && value.matches("\\d{1,9}");
        return isNumber ? Long.parseLong(value) : DEFAULT_TIMEOUT_MILLISECONDS;
    }

    /**
     * Returns the description of the prompt; empty if no header describes one. Without readable
     * numbers of tokens they are estimated from the parts.
     */
    Optional<Prompt> prompt(MultiMap headers) {
        String model = headers.get(mNames.engine().model());
        List<Prompt.Part> parts = parts(headers.get(mNames.engine().promptPrefix()));
        String tokens = headers.get(mNames.engine().tokens());
        String knownModel = model == null ? "" : model;
        if (tokens != null && tokens.matches("\\d{1,9}\\s*,\\s*\\d{1,9}")) {
            String[] counts = tokens.split(",");
            return Optional.of(
                    new Prompt(
                            knownModel,
                            parts,
                            Long.parseLong(counts[0].trim()),
                            Long.parseLong(counts[1].trim())));
        }
        boolean isDescribed = model != null || !parts.isEmpty();
        return isDescribed ? Optional.of(Prompt.ofParts(knownModel, parts)) : Optional.empty();
    }

    private static List<Prompt.Part> parts(String value) {
        List<Prompt.Part> parts = new ArrayList<>();
        if (value != null) {
            for (String entry : value.split(",")) {
                String[] fields = entry.trim().split(":");
                if (fields.length == 2 && fields[1].matches("\\d{1,9}")) {
                    parts.add(new Prompt.Part(fields[0], Long.parseLong(fields[1])));
                }
            }
        }
        return parts;
    }

    /** Returns the request headers that are forwarded to the endpoint. */
    MultiMap forwardedHeaders(MultiMap headers) {
        Set<String> hopByHop = connectionOptions(headers.get("Connection"));
        MultiMap forwardedHeaders = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean isForwarded =
                    !NOT_FORWARDED.contains(name)
                            && !mNames.reserved().contains(name)
                            && !hopByHop.contains(name);
            if (isForwarded) {
                forwardedHeaders.add(header.getKey(), header.getValue());
            }
        }
        return forwardedHeaders;
    }

    /** Returns the response headers that are forwarded to the caller. */
    static MultiMap forwardedResponseHeaders(MultiMap headers) {
        Set<String> hopByHop = connectionOptions(headers.get("Connection"));
        MultiMap forwardedHeaders = MultiMap.caseInsensitiveMultiMap();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name) && !hopByHop.contains(name)) {
                forwardedHeaders.add(header.getKey(), header.getValue());
            }
        }
        return forwardedHeaders;
    }

    private static Set<String> connectionOptions(String value) {
        Set<String> names = new HashSet<>();
        if (value != null) {
            for (String name : value.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
