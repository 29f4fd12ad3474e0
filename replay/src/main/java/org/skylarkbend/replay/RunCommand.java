package org.skylarkbend.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.placement.PlacementParameters;
import org.skylarkbend.replay.model.ModelParameters;
import org.skylarkbend.replay.model.ReplayPolicy;
import org.skylarkbend.replay.model.ReplayRun;
import org.skylarkbend.replay.report.CsvReport;
import org.skylarkbend.replay.report.ExpectedOutcome;
import org.skylarkbend.replay.report.HtmlReport;
import org.skylarkbend.replay.report.OutcomeReader;
import org.skylarkbend.replay.report.PolicyResult;
import org.skylarkbend.replay.report.ReplayReport;
import org.skylarkbend.replay.report.TextReport;
import org.skylarkbend.replay.trace.Trace;
import org.skylarkbend.replay.trace.TraceReader;
import org.skylarkbend.replay.trace.TraceRoute;

/** The {@code run} subcommand, which replays a trace with each policy and prints the measures. */
final class RunCommand implements ReplayCommand {
    private static final int PERCENT = 100;

    @Option(name = "--trace", required = true, usage = "trace file to replay")
    private Path mTrace = Path.of("");

    @Option(name = "--outcomes", usage = "YAML file of expected outcomes")
    private Path mOutcomes;

    @Option(name = "--csv", usage = "CSV report to write")
    private Path mCsv;

    @Option(name = "--html", usage = "HTML report to write")
    private Path mHtml;

    @Option(name = "--seed", usage = "seed of load balancing, message loss and report times")
    private long mSeed = 1;

    @Option(name = "--cache-blocks", usage = "capacity of each engine's cache in blocks")
    private int mCacheBlocks = ModelParameters.defaults().cacheBlocks();

    @Option(name = "--event-loss", usage = "fraction of cache events that are lost")
    private double mEventLossShare = ModelParameters.defaults().eventLossShare();

    @Option(name = "--event-delay", usage = "maximum delay of a cache event in milliseconds")
    private long mEventDelayMilliseconds = ModelParameters.defaults().eventDelayMilliseconds();

    @Option(name = "--report-period", usage = "interval of load reports in milliseconds")
    private long mReportPeriodMilliseconds = ModelParameters.defaults().reportPeriodMilliseconds();

    @Option(name = "--own-only", usage = "replay without the baseline policies")
    private boolean mOwnOnly;

    @Option(name = "--spread", usage = "home engines per share of traffic")
    private double mHomeShareFactor = PlacementParameters.defaults().homeShareFactor();

    @Option(
            name = "--stray-cost",
            usage = "extra cost factor of a recomputed token on a non-home engine")
    private double mNonHomeCostFactor = PlacementParameters.defaults().nonHomeCostFactor();

    @Option(name = "--open-cost", usage = "cost of an in-flight request in tokens")
    private double mOpenRequestTokens = PlacementParameters.defaults().openRequestTokens();

    @Option(name = "--index-entries", usage = "maximum blocks in a router's prefix index")
    private int mMaxIndexEntries = PlacementParameters.defaults().maxIndexEntries();

    @Option(name = "--entry-life", usage = "lifetime of an index entry in milliseconds")
    private long mEntryLifeMilliseconds = PlacementParameters.defaults().entryLifeMilliseconds();

    @Override
    public int run(PrintStream out, PrintStream err) {
        Result<List<ExpectedOutcome>> outcomes =
                mOutcomes == null ? Result.success(List.of()) : OutcomeReader.readFile(mOutcomes);
        return outcomes.flatMap(
                        expected ->
                                TraceReader.readFile(mTrace).map(t -> run(t, expected, out, err)))
                .fold(
                        exitCode -> exitCode,
                        error -> {
                            err.println(error.detail());
                            return ReplayMain.EXIT_USAGE;
                        });
    }

    private int run(Trace trace, List<ExpectedOutcome> outcomes, PrintStream out, PrintStream err) {
        ReplayReport report = replay(trace, err);
        TextReport.print(report, outcomes, out);
        try {
            write(mCsv, CsvReport.of(report));
            write(mHtml, HtmlReport.of(report, outcomes));
        } catch (IOException e) {
            err.println("cannot write the report: " + e.getMessage());
            return ReplayMain.EXIT_USAGE;
        }
        boolean allMet = outcomes.stream().allMatch(outcome -> outcome.isMet(report));
        return allMet ? ReplayMain.EXIT_MET : ReplayMain.EXIT_MISSED;
    }

    private ReplayReport replay(Trace trace, PrintStream err) {
        List<PolicyResult> results = new ArrayList<>();
        List<ReplayPolicy> policies =
                mOwnOnly ? List.of(ReplayPolicy.own()) : ReplayPolicy.all(mSeed);
        for (ReplayPolicy policy : policies) {
            results.add(replay(trace, policy, policy.name(), err));
        }
        PolicyResult undisturbed =
                replay(withoutLeastUrgent(trace), ReplayPolicy.own(), "undisturbed", err);
        return new ReplayReport(mTrace.getFileName().toString(), results, undisturbed);
    }

    private static Trace withoutLeastUrgent(Trace trace) {
        int leastUrgentPriority =
                trace.routes().stream().mapToInt(TraceRoute::priority).max().orElse(0);
        Set<ObjectName> remainingRoutes =
                trace.routes().stream()
                        .filter(route -> route.priority() < leastUrgentPriority)
                        .map(TraceRoute::name)
                        .collect(Collectors.toSet());
        return trace.withRequests(request -> remainingRoutes.contains(request.route()));
    }

    private PolicyResult replay(Trace trace, ReplayPolicy policy, String label, PrintStream err) {
        ReplayRun run =
                new ReplayRun(trace, policy, placementParameters(), modelParameters(), mSeed);
        PolicyResult result =
                run.run(progress -> err.printf("\r%-24s %3.0f %%", label, progress * PERCENT));
        err.println();
        return result;
    }

    private PlacementParameters placementParameters() {
        PlacementParameters defaults = PlacementParameters.defaults();
        return new PlacementParameters(
                mMaxIndexEntries,
                mEntryLifeMilliseconds,
                defaults.popularityBuckets(),
                defaults.popularityDecayMilliseconds(),
                mHomeShareFactor,
                defaults.warmUpTokens(),
                mNonHomeCostFactor,
                mOpenRequestTokens);
    }

    private ModelParameters modelParameters() {
        ModelParameters defaults = ModelParameters.defaults();
        return new ModelParameters(
                mCacheBlocks,
                defaults.prefillTokensPerSecond(),
                defaults.millisecondsPerAnswerToken(),
                defaults.batchRequests(),
                defaults.overheadMilliseconds(),
                defaults.agingMilliseconds(),
                mReportPeriodMilliseconds,
                defaults.reportLagMilliseconds(),
                mEventDelayMilliseconds,
                mEventLossShare,
                defaults.detectionMilliseconds());
    }

    private static void write(Path file, String text) throws IOException {
        if (file != null) {
            Files.writeString(file, text);
        }
    }
}
