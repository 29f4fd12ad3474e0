package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.skylarkbend.standin.load.LoadPlan;
import org.skylarkbend.standin.load.LoadTask;

/** Measures the latency that a router adds and prints the results as a table. */
public final class LoadCommand implements StandinCommand {
    @Option(name = "--direct", required = true, usage = "address of a fake engine, http://...")
    private String mDirectUrl;

    @Option(name = "--direct-credential", usage = "bearer token of the fake engine")
    private String mDirectCredential = "none";

    @Option(name = "--router", required = true, usage = "address of a router, http://...")
    private String mRouterUrl;

    @Option(name = "--key", required = true, usage = "API key of the caller")
    private String mKey;

    @Option(name = "--route", required = true, usage = "name of the route")
    private String mRoute;

    @Option(name = "--pairs", usage = "number of measured request pairs")
    private int mPairs = 1_000;

    @Option(name = "--warm-up", usage = "number of request pairs sent before the measurement")
    private int mWarmUpPairs = 200;

    @Option(name = "--prompt-chars", usage = "length of the prompt in characters")
    private int mPromptChars = 400;

    @Option(name = "--answer-tokens", usage = "length of the response in tokens")
    private int mAnswerTokens = 1;

    @Override
    public Future<?> run(Vertx vertx) {
        LoadPlan plan =
                new LoadPlan(
                        mDirectUrl,
                        mDirectCredential,
                        mRouterUrl,
                        mKey,
                        mRoute,
                        mPairs,
                        mWarmUpPairs,
                        mPromptChars,
                        mAnswerTokens);
        LoadTask task = new LoadTask(plan, System::nanoTime);
        return vertx.deployVerticle(task)
                .compose(deployed -> task.completion())
                .onSuccess(report -> System.out.print(report.table()))
                .onComplete(report -> vertx.close());
    }
}
