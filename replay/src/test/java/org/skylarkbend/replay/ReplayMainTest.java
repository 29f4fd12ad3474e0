package org.skylarkbend.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Runs the program with command lines and checks the files and exit codes. */
public class ReplayMainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @Test
    public void theSameSeedGivesTheSameReport() throws IOException {
        Path folder = Files.createTempDirectory("replay");
        List<String> reports = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Path trace = generated(folder, "FAULTS", "beaudoin-lachance", 5);
            Path csv = folder.resolve("report.csv");
            assertThat(run("run", "--trace", trace.toString(), "--csv", csv.toString())).isZero();
            reports.add(Files.readString(trace) + Files.readString(csv));
        }
        assertThat(reports.get(0)).isEqualTo(reports.get(1));
        assertThat(reports.get(0)).contains("skylarkbend,hit_rate,all,", "oracle,hit_rate,all,");
    }

    @Test
    public void aMissedOutcomeEndsInExitCodeOneAndAMetOneInZero() throws IOException {
        Path folder = Files.createTempDirectory("replay");
        String trace = generated(folder, "STEADY", "regie", 3).toString();
        Path outcomes = folder.resolve("outcomes.yaml");
        Path html = folder.resolve("report.html");
        Files.writeString(outcomes, "outcomes:\n  - measure: hit_rate\n    at_least: 1.0\n");
        String[] command = {
            "run", "--trace", trace, "--outcomes", outcomes.toString(), "--html", html.toString()
        };
        assertThat(run(command)).isEqualTo(ReplayMain.EXIT_MISSED);
        assertThat(text(mOut)).contains("MISSED hit_rate = 0.");
        Files.writeString(outcomes, "outcomes:\n  - measure: hit_rate\n    at_least: 0.1\n");
        assertThat(run(command)).isEqualTo(ReplayMain.EXIT_MET);
        assertThat(Files.readString(html)).contains("<svg", "</html>").doesNotContain("http");
    }

    @Test
    public void aWrongTraceIsRefusedWithItsLine() throws IOException {
        Path folder = Files.createTempDirectory("replay");
        String head =
                "skylarkbend-trace 1\nendpoint e1 dc-1\ncustomer c1 10 100\nroute r1 0 1000\n";
        assertThat(errorOf(folder, "")).contains("t.trace:1: the trace is empty");
        assertThat(errorOf(folder, "trace 7\n")).contains("t.trace:1: expected");
        assertThat(errorOf(folder, head)).contains("t.trace:4: the trace ends without");
        assertThat(errorOf(folder, head + "request 5 c2 r1 - 10 1 -\n"))
                .contains("t.trace:5: no customer line for \"c2\"");
        assertThat(errorOf(folder, head + "request 5 c1 r1 xyz 10 1 -\n"))
                .contains("t.trace:5: \"xyz\" is not a block hash");
        assertThat(errorOf(folder, head + "request 5 c1 r1 00000000000000ff 10 1 -\n"))
                .contains("t.trace:5: the prompt is shorter than its 1 blocks");
        assertThat(errorOf(folder, head + "request 5 c1 r1 - 10 1 -\nrequest 4 c1 r1 - 1 1 -\n"))
                .contains("t.trace:6: the time is earlier than that of the previous request");
        assertThat(errorOf(folder, head + "fault 5 meltdown e1 9\n"))
                .contains("t.trace:5: unknown fault \"meltdown\"");
        assertThat(errorOf(folder, head + "request 5 c1\n"))
                .contains("t.trace:5: request takes 7 fields, not 2");
    }

    @Test
    public void allProblemsOfAFileOfOutcomesAreNamed() throws IOException {
        Path folder = Files.createTempDirectory("replay");
        String trace = generated(folder, "STEADY", "regie", 1).toString();
        Path outcomes = folder.resolve("outcomes.yaml");
        Files.writeString(
                outcomes, "outcomes:\n  - measure: speed\n    at_most: 1\n  - measure: hit_rate\n");
        assertThat(run("run", "--trace", trace, "--outcomes", outcomes.toString()))
                .isEqualTo(ReplayMain.EXIT_USAGE);
        assertThat(text(mErr)).contains("\"speed\" is not one of", "give at_least, at_most");
    }

    private String errorOf(Path folder, String lines) throws IOException {
        Path trace = folder.resolve("t.trace");
        Files.writeString(trace, lines);
        assertThat(run("run", "--trace", trace.toString())).isEqualTo(ReplayMain.EXIT_USAGE);
        return text(mErr);
    }

    private Path generated(Path folder, String scenario, String deployment, int seed) {
        Path trace = folder.resolve("generated.trace");
        assertThat(
                        run(
                                "generate",
                                "--deployment",
                                deployment,
                                "--scenario",
                                scenario,
                                "--seconds",
                                "60",
                                "--seed",
                                Integer.toString(seed),
                                "--out",
                                trace.toString()))
                .isZero();
        return trace;
    }

    private int run(String... args) {
        mOut.reset();
        mErr.reset();
        return ReplayMain.run(args, new PrintStream(mOut, true), new PrintStream(mErr, true));
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
