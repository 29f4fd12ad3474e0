package org.skylarkbend.base.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.skylarkbend.base.Result;
import org.testng.annotations.Test;

/** Checks the command line of a program with one settings file. */
public class ProgramSettingsTest {
    @Test
    public void theNamedFileIsRead() {
        assertThat(read("--settings", "a.yaml")).isEqualTo(Result.success(Path.of("a.yaml")));
    }

    @Test
    public void aMissingOrUnknownOptionFailsWithTheUsage() {
        for (Result<Path> result : java.util.List.of(read(), read("--seting", "a.yaml"))) {
            String detail = result.fold(Path::toString, error -> error.detail());
            assertThat(detail).contains("usage: skylark-example --settings FILE");
        }
    }

    private static Result<Path> read(String... arguments) {
        return ProgramSettings.read("skylark-example", arguments, Result::success);
    }
}
