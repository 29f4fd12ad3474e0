package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests paths in the settings of operators that no file system has. */
public class OperatorSettingsPathsTest {
    /** Guards against an exception for a credential file that is no path. */
    @Test
    public void aCredentialFileThatIsNoPathIsReported() throws IOException {
        Path file = Files.createTempFile("operator", ".yaml");
        try {
            String yaml = "controls: [\"127.0.0.1:7000\"]\ncredential_file: \"c\\0\"\n";
            Files.writeString(file, yaml);
            String detail =
                    OperatorSettings.of(Optional.of(file), null, Map.of())
                            .fold(settings -> "", error -> error.detail());
            assertThat(detail).contains(" credential_file: ");
        } finally {
            Files.delete(file);
        }
    }
}
