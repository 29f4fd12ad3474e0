package org.skylarkbend.control.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Tests paths in settings that no file system has. */
public class ControlSettingsPathsTest {
    private static final String VALID =
            """
            vm: control-1
            data_centre: thies-a
            data_folder: "data"
            members:
              - {vm: control-1, host: 127.0.0.1, agreement_port: 1, feed_port: 2, operator_port: 3}
            operators:
              - {name: desk, digest_sha256: %s}
            tls: {certificate: /dev/null, key: /dev/null, authorities: /dev/null}
            """
                    .formatted("ab".repeat(32));

    @Test
    public void validPathsAreRead() {
        assertThat(problems(VALID)).isEmpty();
    }

    /** Guards against an exception for a data folder that is no path. */
    @Test
    public void aDataFolderThatIsNoPathIsReported() {
        assertThat(problems(VALID.replace("\"data\"", "\"da\\0ta\""))).contains(" data_folder: ");
    }

    /** Guards against an exception for a TLS file that is no path. */
    @Test
    public void aTlsFileThatIsNoPathIsReported() {
        String yaml = VALID.replace("key: /dev/null", "key: \"k\\0\"");
        assertThat(problems(yaml)).contains(" tls.key: ");
    }

    private static String problems(String yaml) {
        return ControlSettingsReader.readText("c.yaml", yaml)
                .fold(settings -> "", error -> error.detail());
    }
}
