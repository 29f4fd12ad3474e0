package org.skylarkbend.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.skylarkbend.replay.trace.Scenario;
import org.skylarkbend.replay.trace.Trace;
import org.skylarkbend.replay.trace.TraceGenerator;
import org.skylarkbend.replay.trace.TraceWriter;

/** The {@code generate} subcommand, which writes a generated trace of a known deployment. */
final class GenerateCommand implements ReplayCommand {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Option(
            name = "--deployment",
            required = true,
            usage = "regie, beaudoin-lachance, fleet-15, fleet-30 or fleet-60")
    private String mDeployment = "";

    @Option(name = "--scenario", usage = "steady, faults, noisy or overload")
    private Scenario mScenario = Scenario.STEADY;

    @Option(name = "--seconds", usage = "trace length in seconds")
    private long mLengthSeconds = 600;

    @Option(name = "--seed", usage = "seed of the random generator; equal seeds give equal traces")
    private long mSeed = 1;

    @Option(name = "--out", required = true, usage = "trace file to write")
    private Path mOut = Path.of("");

    @Override
    public int run(PrintStream out, PrintStream err) {
        long lengthMilliseconds = mLengthSeconds * MILLISECONDS_PER_SECOND;
        Optional<Trace> trace =
                TraceGenerator.generate(mDeployment, mScenario, mSeed, lengthMilliseconds);
        if (trace.isEmpty()) {
            err.println("--deployment must be one of " + TraceGenerator.deployments());
            return ReplayMain.EXIT_USAGE;
        }
        try (Writer writer = Files.newBufferedWriter(mOut)) {
            TraceWriter.write(trace.get(), writer);
        } catch (IOException e) {
            err.println(mOut + ": cannot be written: " + e.getMessage());
            return ReplayMain.EXIT_USAGE;
        }
        out.println("wrote " + trace.get().requests().size() + " requests to " + mOut);
        return ReplayMain.EXIT_MET;
    }
}
