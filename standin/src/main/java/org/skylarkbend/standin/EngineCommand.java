package org.skylarkbend.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.telemetry.Tracing;
import org.skylarkbend.standin.engine.EngineAddress;
import org.skylarkbend.standin.engine.EngineDecider;
import org.skylarkbend.standin.engine.EngineOptions;
import org.skylarkbend.standin.engine.EngineTask;

/** Runs one or more fake engines on consecutive ports. */
public final class EngineCommand implements StandinCommand {
    @Option(name = "--host", usage = "IP address to listen on")
    private String mHost = "127.0.0.1";

    @Option(name = "--port", required = true, usage = "port of the first engine")
    private int mPort;

    @Option(name = "--count", usage = "number of engines")
    private int mCount = 1;

    @Option(
            name = "--version",
            usage = "a version loaded at the start; the first is active; repeatable")
    private List<String> mVersions = new ArrayList<>();

    @Option(name = "--credential", usage = "bearer token that callers must send")
    private String mCredential;

    @Option(name = "--cache-blocks", usage = "capacity of the prefix cache in blocks")
    private int mCacheBlocks = 400;

    @Option(name = "--batch-slots", usage = "maximum number of concurrent responses")
    private int mBatchSlots = 16;

    @Option(name = "--prompt-rate", usage = "uncached prompt tokens computed per millisecond")
    private double mPromptTokensPerMillisecond = 20;

    @Option(name = "--token-ms", usage = "milliseconds between consecutive tokens of a response")
    private long mTokenMilliseconds = 5;

    @Option(name = "--load-ms", usage = "milliseconds to load a version")
    private long mLoadMilliseconds = 500;

    @Option(name = "--ignore-fencing", usage = "accept orders with an old fencing number")
    private boolean mIgnoreFencing;

    @Option(name = "--event-delay-ms", usage = "delay of cache events in milliseconds")
    private long mEventDelayMilliseconds;

    @Option(name = "--report-lag-ms", usage = "age of load reports in milliseconds")
    private long mReportLagMilliseconds;

    @Override
    public Future<?> run(Vertx vertx) {
        Tracing tracing = new Tracing("skylark-standin", Optional.empty());
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < mCount; i++) {
            long incarnation = MillisecondClock.wall().nowMilliseconds();
            EngineAddress address =
                    new EngineAddress(mHost, mPort + i, Optional.ofNullable(mCredential));
            EngineDecider decider = new EngineDecider(options(), incarnation);
            started.add(
                    vertx.deployVerticle(
                            new EngineTask(
                                    address, decider, MillisecondClock.monotonic(), tracing)));
        }
        return Future.all(started);
    }

    private EngineOptions options() {
        return new EngineOptions(
                mVersions.isEmpty() ? List.of("v1") : mVersions,
                mCacheBlocks,
                mBatchSlots,
                mPromptTokensPerMillisecond,
                mTokenMilliseconds,
                mLoadMilliseconds,
                !mIgnoreFencing,
                mEventDelayMilliseconds,
                mReportLagMilliseconds);
    }
}
