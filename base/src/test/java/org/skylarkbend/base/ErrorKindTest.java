package org.skylarkbend.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Checks that the documentation of error kinds matches the code. */
public class ErrorKindTest {
    private static final String ROOT_PROPERTY = "skylarkbend.root";

    @Test
    public void theErrorsPageListsAllKindsWithTheirResponses() throws IOException {
        Path page = Path.of(System.getProperty(ROOT_PROPERTY), "docs", "ERRORS.md");
        List<String> rows =
                Files.readAllLines(page).stream().filter(line -> line.startsWith("| `")).toList();
        assertThat(rows).isEqualTo(Arrays.stream(ErrorKind.values()).map(this::row).toList());
    }

    /** Guards against an error that makes callers place a request again that may have run. */
    @Test
    public void noKindOfARequestThatMayHaveRunHasAStatusThatImpliesTheOpposite() {
        for (ErrorKind kind : ErrorKind.values()) {
            ErrorKind reported = kind.unlessItMayHaveRun(true);
            assertThat(reported.runState()).as(kind.code()).isEqualTo(RunState.MAY_HAVE_RUN);
            assertThat(RunState.impliesNotRun(reported.httpStatus())).as(kind.code()).isFalse();
            assertThat(kind.unlessItMayHaveRun(false)).isEqualTo(kind);
        }
    }

    private String row(ErrorKind kind) {
        return "| `"
                + kind.code()
                + "` | "
                + kind.httpStatus()
                + " | `"
                + kind.runState().code()
                + "` | "
                + (kind.retryable() ? "yes" : "no")
                + " |";
    }
}
