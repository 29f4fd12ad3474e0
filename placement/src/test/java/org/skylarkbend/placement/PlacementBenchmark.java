package org.skylarkbend.placement;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.PlacementMessage.CacheEvent;
import org.skylarkbend.placement.PlacementMessage.EndpointAdded;

/**
 * Measures the time of one endpoint selection and of one cache event, by the number of endpoints
 * and known blocks.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(0)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
public class PlacementBenchmark {
    private static final ObjectName POOL = ObjectName.of("engines");
    private static final ObjectName VERSION = ObjectName.of("v1");
    private static final int CHAIN_BLOCKS = 16;
    private static final int CUSTOMERS = 1_800;
    private static final int REQUESTS = 4_096;
    private static final long NOW_MILLISECONDS = 1_000;

    /** The number of endpoints to select from. */
    @Param({"8", "64", "600"})
    public int mEndpoints;

    /** The number of entries in the block index. */
    @Param({"200000", "2000000", "20000000"})
    public int mKnownBlocks;

    private PlacementDecider mDecider;
    private PlacementRequest[] mRequests;
    private int mNext;
    private long mSequence;

    /** Fills the index with whole chains and keeps some of them as requests. */
    @Setup
    public void fill() {
        PlacementParameters defaults = PlacementParameters.defaults();
        PlacementParameters parameters =
                new PlacementParameters(
                        Integer.MAX_VALUE,
                        defaults.entryLifeMilliseconds(),
                        defaults.popularityBuckets(),
                        defaults.popularityDecayMilliseconds(),
                        defaults.homeShareFactor(),
                        defaults.warmUpTokens(),
                        defaults.nonHomeCostFactor(),
                        defaults.openRequestTokens());
        mDecider = new PlacementDecider(parameters, new PrefixCostPolicy(parameters));
        for (int i = 0; i < mEndpoints; i++) {
            mDecider.apply(new EndpointAdded(engine(i), POOL, Set.of(VERSION)), 0);
        }
        mRequests = new PlacementRequest[REQUESTS];
        SplittableRandom random = new SplittableRandom(1);
        int chains = mKnownBlocks / CHAIN_BLOCKS;
        for (int chain = 0; chain < chains; chain++) {
            PlacementRequest request = request(random);
            mDecider.apply(event(random.nextInt(mEndpoints), request), 0);
            mRequests[chain % REQUESTS] = request;
        }
        System.out.printf(
                "%nindex: %d blocks, %.1f bytes a block%n",
                mDecider.knownBlocks(),
                (double) mDecider.indexMemoryBytes() / mDecider.knownBlocks());
    }

    /** Selects the endpoint of one request with {@value #CHAIN_BLOCKS} blocks. */
    @Benchmark
    public Optional<PlacementChoice> choose() {
        mNext = (mNext + 1) % REQUESTS;
        return mDecider.choose(mRequests[mNext], NOW_MILLISECONDS);
    }

    /** Applies one event that stores {@value #CHAIN_BLOCKS} already known blocks. */
    @Benchmark
    public void apply() {
        mNext = (mNext + 1) % REQUESTS;
        mDecider.apply(event(mNext % mEndpoints, mRequests[mNext]), NOW_MILLISECONDS);
    }

    /** Runs the benchmark. The optional argument is a pattern of method names. */
    public static void main(String[] args) throws RunnerException {
        String pattern = args.length == 0 ? "choose" : args[0];
        new Runner(
                        new OptionsBuilder()
                                .include(PlacementBenchmark.class.getSimpleName() + "." + pattern)
                                .build())
                .run();
    }

    private CacheEvent event(int endpoint, PlacementRequest request) {
        return new CacheEvent(
                engine(endpoint),
                ++mSequence,
                CacheEventKind.STORED,
                request.scope().text(),
                request.chain().blocks());
    }

    private static PlacementRequest request(SplittableRandom random) {
        long[] hashes = random.longs(CHAIN_BLOCKS).toArray();
        PrefixChain chain =
                new PrefixChain(BlockHashes.of(hashes), PrefixChain.tokensOf(CHAIN_BLOCKS));
        ObjectName customer = ObjectName.of("customer-" + random.nextInt(CUSTOMERS));
        CacheScope scope = CacheScope.of(customer, "weights-1", "");
        return new PlacementRequest(POOL, VERSION, scope, chain, 0, 100, Set.of());
    }

    private static EngineIncarnation engine(int number) {
        return new EngineIncarnation(ObjectName.of("engine-" + number), 1);
    }
}
