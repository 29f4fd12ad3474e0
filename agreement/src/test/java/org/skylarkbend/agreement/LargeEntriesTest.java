package org.skylarkbend.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs a member with a heap that is smaller than the commands it commits. */
public class LargeEntriesTest {
    private static final String HEAP = "-Xmx40m";
    private static final int COMMANDS = 350;

    /** With this heap the log is to take a fifth of it, 8 MB. */
    private static final long MAX_LOG_BYTES = 8 * 1024 * 1024;

    private Path mFolder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        mFolder = Files.createTempDirectory("large-entries-");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (var files = Files.walk(mFolder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Guards against a log that outgrows the heap, so that no control process starts again. */
    @Test
    public void aMemberThatHasCommittedMoreThanItsHeapCompactsItsLogAndStartsAgain()
            throws Exception {
        assertThat(run(COMMANDS)).endsWith("last=" + (byte) COMMANDS);
        assertThat(Files.size(mFolder.resolve("log"))).isLessThanOrEqualTo(MAX_LOG_BYTES);
        assertThat(run(0)).endsWith("last=" + (byte) COMMANDS);
    }

    private String run(int commands) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                HEAP,
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                LargeEntriesProcess.class.getName(),
                                mFolder.toString(),
                                Integer.toString(commands))
                        .redirectErrorStream(true)
                        .start();
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        assertThat(process.waitFor()).as(output).isZero();
        return output;
    }
}
