package org.skylarkbend.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.base.Result;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of event streams and settings. */
public class RouterFuzzTest implements FuzzTargets {
    private static final int MAX_EVENT_BYTES = 200;
    private static final String SETTINGS =
            """
            vm: entry-1
            data_centre: dc-1
            http: {host: 127.0.0.1, port: 21001}
            endpoint_credential: sample-endpoint-credential
            platform: {host: 127.0.0.1, port: 21050}
            control:
              - {host: 127.0.0.1, port: 21021}
            collector_url: "http://127.0.0.1:4318"
            plain_tcp: true
            tls: {certificate: /dev/null, key: /dev/null, authorities: /dev/null}
            bounds: {max_body_bytes: 1024, watch_milliseconds: 10}
            """;

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                new FuzzTarget(
                        "sse",
                        bytes("id: 1\ndata: a\ndata: b\n\n: c\r\ndata:x\r\n\r\n"),
                        RouterFuzzTest::parses),
                FuzzTarget.ofDecoder(
                        "router-settings",
                        bytes(SETTINGS),
                        input -> RouterSettingsReader.readText("r.yaml", text(input))));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }

    /** Events must not depend on how the bytes are cut into chunks. */
    private static boolean parses(byte[] input) {
        Result<List<SseEvent>> atOnce = new SseParser(MAX_EVENT_BYTES).feed(input);
        SseParser parts = new SseParser(MAX_EVENT_BYTES);
        List<SseEvent> events = new ArrayList<>();
        boolean isSound = true;
        for (int i = 0; i < input.length && isSound; i++) {
            Result<List<SseEvent>> fed = parts.feed(new byte[] {input[i]});
            isSound = fed.isSuccess();
            fed.match(events::addAll, error -> {});
        }
        assertThat(isSound).isEqualTo(atOnce.isSuccess());
        atOnce.match(expected -> assertThat(events).isEqualTo(expected), error -> {});
        return isSound;
    }

    private static List<byte[]> bytes(String... texts) {
        return List.of(texts).stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toList();
    }

    private static String text(byte[] input) {
        return new String(input, StandardCharsets.UTF_8);
    }
}
