package org.skylarkbend.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.skylarkbend.gateway.HeaderNames;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed values of headers to the reader of the heads of calls. */
public class CallHeadFuzzTest implements FuzzTargets {
    private static final String HEAD =
            "authorization: Bearer key\ndeadline: 500\ntokens: 10 , 3\nmodel: m\n"
                    + "prefix: a:5, b:7\nconnection: close, x-hop\nx-hop: 1\nx-other: 2\n";

    private final CallHeadReader mReader = new CallHeadReader(names());

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "call-heads",
                        List.of(HEAD.getBytes(StandardCharsets.ISO_8859_1)),
                        this::reads));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    /** Each line is a header, as the server has parsed it. */
    private boolean reads(byte[] input) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        for (String line : new String(input, StandardCharsets.ISO_8859_1).split("\n")) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.add(line.substring(0, colon), line.substring(colon + 1).trim());
            }
        }
        assertThat(mReader.timeoutMilliseconds(headers)).isNotNegative();
        MultiMap forwarded = mReader.forwardedHeaders(headers);
        assertThat(forwarded.contains("authorization")).isFalse();
        assertThat(forwarded.contains("connection")).isFalse();
        CallHeadReader.forwardedResponseHeaders(headers);
        mReader.keyDigest(headers);
        return mReader.prompt(headers).isPresent();
    }

    private static HeaderNames names() {
        return new HeaderNames(
                "request-id",
                "deadline",
                "seal",
                "not-run",
                "expect-instance",
                "customer",
                "load",
                "leaving",
                "brittle",
                "last-event-id",
                new HeaderNames.Engine(
                        "model",
                        "tokens",
                        "prefix",
                        "urgency",
                        "scope",
                        "expect-version",
                        "source",
                        "store"),
                Set.of("customer"));
    }
}
