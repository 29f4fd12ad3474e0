package org.skylarkbend.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlStateMachine;
import org.skylarkbend.control.settings.ControlSettingsReader;
import org.skylarkbend.testing.fuzz.FuzzTarget;
import org.skylarkbend.testing.fuzz.FuzzTargets;
import org.skylarkbend.testing.fuzz.SeededFuzzing;
import org.skylarkbend.wire.MessageWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives malformed bytes to the decoders of the entries of the log and of settings. */
public class ControlFuzzTest implements FuzzTargets {
    private static final String SETTINGS =
            """
            vm: control-1
            data_centre: thies-a
            data_folder: data
            members:
              - {vm: control-1, host: 127.0.0.1, agreement_port: 1, feed_port: 2, operator_port: 3}
            operators:
              - {name: desk, digest_sha256: %s}
            serving_lease_milliseconds: 5000
            plain_tcp: true
            tls: {certificate: /dev/null, key: /dev/null, authorities: /dev/null}
            trace_collector: collector
            """
                    .formatted("ab".repeat(32));

    @Override
    public List<FuzzTarget> targets() {
        return List.of(
                FuzzTarget.ofCodec(
                        "control-entries",
                        List.of(new ControlEntry("limits", 5, new byte[] {1, 2})),
                        ControlEntry::toBytes,
                        ControlEntry::fromBytes),
                FuzzTarget.ofDecoder(
                        "control-results",
                        List.of(new MessageWriter(1).bytes(new byte[] {1, 2}).toBytes()),
                        ControlStateMachine::decodeResult),
                FuzzTarget.ofDecoder(
                        "control-settings",
                        List.of(SETTINGS.getBytes(StandardCharsets.UTF_8)),
                        input ->
                                ControlSettingsReader.readText(
                                        "c.yaml", new String(input, StandardCharsets.UTF_8))));
    }

    @DataProvider
    private Object[][] decoders() {
        return SeededFuzzing.argumentsOf(this);
    }

    @Test(dataProvider = "decoders", timeOut = SeededFuzzing.HANG_MILLISECONDS)
    public void anyBytesAreDecodedOrRefused(FuzzTarget decoder) {
        SeededFuzzing.run(decoder);
    }
}
