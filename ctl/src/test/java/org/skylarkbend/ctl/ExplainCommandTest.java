package org.skylarkbend.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.skylarkbend.testing.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Explains calls from files. The lines are recorded ones of rmtc-thies. */
public class ExplainCommandTest {
    private static final String ID = "42e614e2513f9044";
    private static final String ENDPOINT = "i-2522d81ddc@1776679797866";
    private static final String FAILED =
            "  10.5433 front-thies-sud-2 2026-04-20T10:10:21.541 level=INFO event=attempt.failed"
                    + " source=GatewayCall id=42e614e2513f9044"
                    + " endpoint=i-2522d81ddc@1776679797866 outcome=BROKEN cause=\"the response has"
                    + " another request ID or no seal\" waiting=true sent=1"
                    + " elapsed_milliseconds=24\n";
    private static final String ENDED =
            "  10.5434 front-thies-sud-2 2026-04-20T10:10:21.542 level=INFO event=call.ended"
                + " source=GatewayCall id=42e614e2513f9044 route=r-9vm5kwz service=mifi92c"
                + " customer=lemi862 catalog=3 outcome=endpoint_failed status=502 sent=1 tried=1"
                + " endpoint=i-2522d81ddc@1776679797866 endpoints_age_milliseconds=19763"
                + " elapsed_milliseconds=25\n";
    private static final String STRAY =
            "  10.5434 front-thies-sud-2 2026-04-20T10:10:21.542 level=WARN"
                    + " event=endpoint.stray_bytes source=EndpointConnection"
                    + " endpoint=10.1.64.33:8063 bytes=1485 in_use=true exchanges=3\n";

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private byte[] mIn;
    private Path mFolder;

    @BeforeMethod
    public void environment() throws IOException {
        mOut.reset();
        mErr.reset();
        mIn = new byte[0];
        mFolder = Files.createTempDirectory("logs");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFiles() throws IOException {
        List<Path> paths;
        try (var walk = Files.walk(mFolder)) {
            paths = new ArrayList<>(walk.toList());
        }
        for (int i = paths.size() - 1; i >= 0; i--) {
            Files.delete(paths.get(i));
        }
    }

    @Test
    public void theStoryEndsWithWhatDecidedTheOutcomeAndWhatIsNotShown() throws IOException {
        String log = file("front.log", FAILED + ENDED + STRAY);
        assertThat(run("explain", ID, log)).isEqualTo(ExitCode.OK);
        assertThat(out().lines())
                .containsSubsequence(
                        "call " + ID,
                        "times: seconds of the simulated day",
                        "decided by",
                        "  the attempt at "
                                + ENDPOINT
                                + " ended as BROKEN (the response has another request ID or no"
                                + " seal), and the call was not sent on",
                        "  beside it 10.5434 front-thies-sud-2 endpoint.stray_bytes"
                                + " endpoint=10.1.64.33:8063 bytes=1485 in_use=true exchanges=3",
                        "out of date",
                        "  nothing, as far as these lines show",
                        "not shown",
                        "read",
                        "  front: 3 lines, 0 of libraries, 0 not parsed");
        assertThat(err()).isEmpty();
    }

    @Test
    public void linesOfSeveralFilesMakeOneStory() throws IOException {
        String first = file("a/front.log", FAILED);
        String second = file("b/front.log", ENDED + STRAY);
        assertThat(run("explain", ID, first, second)).isEqualTo(ExitCode.OK);
        assertThat(out())
                .contains("ends as BROKEN")
                .contains("ends as endpoint_failed")
                .contains("  front: 1 lines")
                .contains("  " + second + ": 2 lines");
    }

    @Test
    public void theStandardInputIsReadWhereAHyphenStands() {
        mIn = (FAILED + ENDED).getBytes(StandardCharsets.UTF_8);
        assertThat(run("explain", ID, "-")).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("ends as BROKEN").contains("  stdin: 2 lines");
    }

    /** Guards against logs out of pipes such as {@code <(zcat front.gz)}, which are read once. */
    @Test(timeOut = 60_000)
    public void aPipeIsReadOnceAndHasTheWholeStory() throws Exception {
        Path pipe = mFolder.resolve("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
        Thread writer = new Thread(() -> write(pipe, FAILED + ENDED + STRAY));
        writer.setDaemon(true);
        writer.start();
        assertThat(run("explain", ID, pipe.toString())).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("ends as BROKEN").contains("endpoint.stray_bytes");
        writer.join();
    }

    private static void write(Path path, String text) {
        try {
            Files.writeString(path, text, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void jsonHasTheStoryTheVerdictAndWhatWasRead() throws IOException {
        String log = file("front.log", FAILED + ENDED + STRAY + "no line of a log\n");
        assertThat(run("explain", "--json", ID, log)).isEqualTo(ExitCode.OK);
        JsonNode json = new ObjectMapper().readTree(out());
        assertThat(json.path("found").asBoolean()).isTrue();
        assertThat(json.path("clock").asText()).isEqualTo("simulated");
        assertThat(json.path("entries").findValuesAsText("role"))
                .containsExactly("arrival", "call", "call", "belief");
        JsonNode verdict = json.path("verdict");
        assertThat(verdict.path("cause_shown").asBoolean()).isTrue();
        assertThat(verdict.path("inputs").get(0).path("fields").path("endpoint").asText())
                .isEqualTo(ENDPOINT);
        assertThat(verdict.path("inputs").get(0).path("line").asLong()).isEqualTo(1);
        assertThat(json.path("read").get(0).path("not_parsed").asLong()).isEqualTo(1);
        assertThat(json.path("read").get(0).path("not_parsed_examples").get(0).path("line").asInt())
                .isEqualTo(4);
    }

    @Test
    public void anIdThatNoLineIsAboutHasItsOwnExitCode() throws IOException {
        String log = file("front.log", FAILED + "event=log.dropped lines=12\n");
        assertThat(run("explain", "0123456789abcdef", log)).isEqualTo(ExitCode.NOT_FOUND);
        assertThat(out())
                .contains("no line is about the call 0123456789abcdef")
                .contains("12 dropped by the process");
        assertThat(ExitCode.NOT_FOUND.code()).isEqualTo(8);
        assertThat(run("explain", "--json", "0123456789abcdef", log)).isEqualTo(ExitCode.NOT_FOUND);
        assertThat(out()).contains("\"found\":false");
    }

    /** Guards against comparing an ID with the line instead of the value that the line holds. */
    @Test
    public void anIdThatIsQuotedInTheLogIsFound() throws IOException {
        String line = "1.0 front-1 event=caller.gone id=\"a\\\"b c\"\n";
        assertThat(run("explain", "a\"b c", file("front.log", line))).isEqualTo(ExitCode.OK);
    }

    @Test
    public void aFileThatCannotBeReadIsNamedAndIsAnErrorOfTheCommandLine() throws IOException {
        String log = file("front.log", FAILED + ENDED);
        assertThat(run("explain", ID, log, mFolder.resolve("absent.log").toString()))
                .isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("absent.log");
        assertThat(out()).isEmpty();
        assertThat(run("explain", ID, log, mFolder.toString())).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains(mFolder.toString());
    }

    @Test
    public void aMissingFileOrABadTimeIsAnErrorOfTheCommandLine() throws IOException {
        assertThat(run("explain", ID)).isEqualTo(ExitCode.USAGE);
        assertThat(run("explain", ID, "-", "--around-seconds", "-1")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    public void aSmallerTimeAroundTheCallShowsLessBesideIt() throws IOException {
        String before =
                "9.0 front-thies-sud-2 event=link.control.lost silent_milliseconds=2\n"
                        + "9.5 front-thies-sud-2 event=link.control.reached\n";
        String log = file("front.log", before + FAILED + ENDED);
        assertThat(run("explain", ID, log)).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("link.control.lost");
        assertThat(run("explain", "--around-seconds", "0", ID, log)).isEqualTo(ExitCode.OK);
        assertThat(out()).doesNotContain("link.control.lost").contains("link.control.reached");
    }

    @Test
    public void textOfCallersCannotControlTheTerminal() throws IOException {
        String line =
                "1.0 front-1 event=call.refused id=x1 kind=bad_request catalog=3"
                        + " detail=\"\u001b[2Jgone\"\n";
        assertThat(run("explain", "x1", file("front.log", line + "\u001b[2J not parsed\n")))
                .isEqualTo(ExitCode.OK);
        assertThat(out()).doesNotContain("\u001b").contains("?[2Jgone");
    }

    @Test
    public void aLineWithoutEndAndBytesThatAreNoTextAreReadInPart() throws IOException {
        Path log = mFolder.resolve("front.log");
        try (PrintStream stream = new PrintStream(Files.newOutputStream(log))) {
            stream.print(FAILED + ENDED);
            byte[] noText = new byte[1_000_000];
            Arrays.fill(noText, (byte) 0xff);
            stream.write(noText, 0, noText.length);
        }
        assertThat(run("explain", ID, log.toString())).isEqualTo(ExitCode.OK);
        assertThat(out()).contains("3 lines, 0 of libraries, 1 not parsed, 1 read in part");
    }

    private String file(String name, String text) throws IOException {
        Path path = mFolder.resolve(name);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text);
        return path.toString();
    }

    private ExitCode run(String... arguments) {
        mOut.reset();
        mErr.reset();
        ManualClock clock = new ManualClock(0);
        return CtlMain.run(
                arguments,
                new CtlEnvironment(
                        new ByteArrayInputStream(mIn),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        Map.of(),
                        settings -> {
                            throw new AssertionError("this command needs no control");
                        },
                        clock,
                        clock::advance));
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
