package org.skylarkbend.control.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests the reading and validation of control settings. */
public class ControlSettingsReaderTest {
    private static final String VALID =
            """
            vm: control-1
            data_centre: thies-a
            data_folder: data
            members:
              - {vm: control-1, host: 127.0.0.1, agreement_port: 1, feed_port: 2, operator_port: 3}
            operators:
              - {name: desk, digest_sha256: %s}
            """
                    .formatted("ab".repeat(32));

    @Test
    public void goodSettingsAreRead() {
        ControlSettings settings =
                ControlSettingsReader.readText("c.yaml", VALID)
                        .fold(
                                value -> value,
                                error -> {
                                    throw new AssertionError(error.detail());
                                });
        assertThat(settings.self().operatorPort()).isEqualTo(3);
        assertThat(settings.servingLeaseMilliseconds()).isEqualTo(5_000);
    }

    @Test
    public void everyProblemIsListedAtOnce() {
        String yaml =
                VALID.replace("vm: control-1\n", "vm: control-9\n")
                        .replace("127.0.0.1", "10.0.0.1")
                        .replace("abab", "XY")
                        .replace("feed_port: 2", "feed_port: 0");
        String detail =
                ControlSettingsReader.readText("c.yaml", yaml)
                        .fold(value -> "", error -> error.detail());
        assertThat(detail.lines())
                .anyMatch(line -> line.startsWith("c.yaml:5: members[0].feed_port: 0 is out of"))
                .anyMatch(line -> line.startsWith("c.yaml:7: operators[0].digest_sha256"))
                .anyMatch(line -> line.startsWith("c.yaml:4: members: this VM is not listed"))
                .anyMatch(line -> line.contains("plain_tcp: connections to other VMs have no TLS"))
                .hasSize(4);
    }
}
