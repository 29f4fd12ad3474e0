package org.skylarkbend.gateway.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.gateway.endpoints.Prompt;

/**
 * Model of an engine that reads prompts in chunks between the tokens of its responses.
 *
 * <p>Each step makes one token of every response whose prompt is read, and reads at most one chunk.
 * Urgent calls are admitted and read first. Running calls and cached parts share the memory; less
 * urgent calls are preempted for more urgent ones, and read again.
 */
final class BatchEngine {
    static final String MODEL = "m";

    /**
     * Speed and size of an engine.
     *
     * @param slots calls that it runs at once
     * @param queue calls that it lets wait
     * @param memoryTokens tokens that its memory holds
     * @param stepMilliseconds time of a step without calls
     * @param slotMilliseconds additional time of a step for each running call
     * @param tokensPerMillisecond prompt tokens that it reads in a millisecond
     * @param chunkTokens largest chunk of a prompt
     * @param eventTokens tokens of an event
     * @param loadMilliseconds time in which it loads weights
     */
    record Spec(
            int slots,
            int queue,
            long memoryTokens,
            double stepMilliseconds,
            double slotMilliseconds,
            double tokensPerMillisecond,
            long chunkTokens,
            int eventTokens,
            long loadMilliseconds) {}

    private static final class Job {
        private final PoolCall mCall;
        private final int mLevel;
        private final long mNumber;
        private long mUnreadTokens;
        private long mMadeTokens;

        private Job(PoolCall call, int level, long number) {
            mCall = call;
            mLevel = level;
            mNumber = number;
        }

        private long heldTokens() {
            return mCall.prompt().promptTokens() + mMadeTokens;
        }
    }

    private static final Comparator<Job> MOST_URGENT_FIRST =
            Comparator.<Job>comparingInt(job -> job.mLevel).thenComparingLong(job -> job.mNumber);

    private final Spec mSpec;
    private final double mSlowness;
    private final Consumer<PoolCall> mOnEvent;
    private final List<Job> mWaiting = new ArrayList<>();
    private final List<Job> mRunning = new ArrayList<>();
    private final Map<String, Long> mCachedTokens = new LinkedHashMap<>(16, 0.75f, true);
    private Endpoint mEndpoint;
    private long mJobs;
    private int mMostCalls;
    private double mStepEndsMilliseconds;
    private Optional<Long> mLoadedVersion = Optional.empty();
    private double mLoadEndsMilliseconds;

    /**
     * Creates an idle engine.
     *
     * @param spec speed and size
     * @param endpoint its entry in the list
     * @param slowness factor of the time of each step
     * @param onEvent receives the call of each event that the engine makes
     */
    BatchEngine(Spec spec, Endpoint endpoint, double slowness, Consumer<PoolCall> onEvent) {
        mSpec = spec;
        mEndpoint = endpoint;
        mSlowness = slowness;
        mOnEvent = onEvent;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    /** Returns the largest number of calls that ran or waited at a time. */
    int mostCalls() {
        return mMostCalls;
    }

    int running() {
        return mRunning.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    long version() {
        return mEndpoint.weights().get(MODEL);
    }

    boolean isLoading() {
        return mLoadedVersion.isPresent();
    }

    /** Loads weights after the running calls have ended, and returns the calls that waited. */
    List<PoolCall> load(long version) {
        List<PoolCall> refused = mWaiting.stream().map(job -> job.mCall).toList();
        mWaiting.clear();
        mLoadedVersion = Optional.of(version);
        mLoadEndsMilliseconds = Double.POSITIVE_INFINITY;
        return refused;
    }

    /** Returns whether the engine accepts a call. */
    boolean accept(PoolCall call, int level) {
        boolean accepts = !isLoading() && mWaiting.size() < mSpec.queue();
        if (accepts) {
            mWaiting.add(new Job(call, level, mJobs++));
            mMostCalls = Math.max(mMostCalls, mRunning.size() + mWaiting.size());
        }
        return accepts;
    }

    /** Drops a call whose caller has left. */
    void drop(PoolCall call) {
        mWaiting.removeIf(job -> job.mCall == call);
        mRunning.removeIf(job -> job.mCall == call);
    }

    /** Works until the given time. */
    void advance(long nowMilliseconds) {
        while (mStepEndsMilliseconds <= nowMilliseconds) {
            advanceLoad(nowMilliseconds);
            admit();
            mStepEndsMilliseconds = mRunning.isEmpty() ? nowMilliseconds + 1 : stepEnd();
        }
    }

    private void advanceLoad(long nowMilliseconds) {
        if (!isLoading() || !mRunning.isEmpty()) {
            return;
        }
        mLoadEndsMilliseconds =
                Math.min(mLoadEndsMilliseconds, nowMilliseconds + mSpec.loadMilliseconds());
        if (mLoadEndsMilliseconds <= nowMilliseconds) {
            mEndpoint = mEndpoint.withWeights(Map.of(MODEL, mLoadedVersion.get()));
            mLoadedVersion = Optional.empty();
            mCachedTokens.clear();
        }
    }

    private void admit() {
        mWaiting.sort(MOST_URGENT_FIRST);
        while (!isLoading() && !mWaiting.isEmpty() && mRunning.size() < mSpec.slots()) {
            Job next = mWaiting.get(0);
            if (!makeRoomFor(next)) {
                return;
            }
            mWaiting.remove(0);
            next.mUnreadTokens = uncachedTokens(next.mCall.prompt());
            next.mMadeTokens = 0;
            mRunning.add(next);
        }
    }

    private boolean makeRoomFor(Job next) {
        boolean fits = true;
        while (fits && heldTokens() + next.heldTokens() > mSpec.memoryTokens()) {
            fits = preemptLessUrgentThan(next.mLevel);
        }
        return fits;
    }

    private boolean preemptLessUrgentThan(int level) {
        Optional<Job> least = mRunning.stream().max(MOST_URGENT_FIRST);
        if (least.isEmpty() || least.get().mLevel <= level) {
            return false;
        }
        mRunning.remove(least.get());
        mWaiting.add(least.get());
        return true;
    }

    private long heldTokens() {
        return mRunning.stream().mapToLong(Job::heldTokens).sum();
    }

    /** Returns the time at which a step ends that begins when the last one has ended. */
    private double stepEnd() {
        double milliseconds = mSpec.stepMilliseconds() + mSpec.slotMilliseconds() * mRunning.size();
        Optional<Job> reading =
                mRunning.stream().filter(job -> job.mUnreadTokens > 0).min(MOST_URGENT_FIRST);
        List<Job> making = mRunning.stream().filter(job -> job.mUnreadTokens == 0).toList();
        if (reading.isPresent()) {
            milliseconds += read(reading.get()) / mSpec.tokensPerMillisecond();
        }
        making.forEach(this::makeToken);
        boolean mayPreempt = true;
        while (mayPreempt && heldTokens() > mSpec.memoryTokens()) {
            mayPreempt = preemptLessUrgentThan(-1);
        }
        return mStepEndsMilliseconds + milliseconds * mSlowness;
    }

    private long read(Job job) {
        long tokens = Math.min(mSpec.chunkTokens(), job.mUnreadTokens);
        job.mUnreadTokens -= tokens;
        if (job.mUnreadTokens == 0) {
            keepParts(job.mCall.prompt());
        }
        return tokens;
    }

    private void makeToken(Job job) {
        job.mMadeTokens++;
        if (job.mMadeTokens % mSpec.eventTokens() == 0) {
            mOnEvent.accept(job.mCall);
        }
        if (job.mMadeTokens == (long) job.mCall.events() * mSpec.eventTokens()) {
            mRunning.remove(job);
        }
    }

    private static List<Prompt.Part> sharedParts(Prompt prompt) {
        return prompt.parts().subList(0, prompt.parts().size() - 1);
    }

    private long uncachedTokens(Prompt prompt) {
        long tokens = prompt.promptTokens();
        String key = "";
        for (Prompt.Part part : sharedParts(prompt)) {
            key += part.id() + ",";
            if (mCachedTokens.get(key) == null) {
                return tokens;
            }
            tokens -= part.tokens();
        }
        return tokens;
    }

    private void keepParts(Prompt prompt) {
        String key = "";
        for (Prompt.Part part : sharedParts(prompt)) {
            key += part.id() + ",";
            mCachedTokens.put(key, part.tokens());
        }
        long cached = mCachedTokens.values().stream().mapToLong(Long::longValue).sum();
        long room = mSpec.memoryTokens() - heldTokens();
        Iterator<Long> oldest = mCachedTokens.values().iterator();
        while (cached > room && oldest.hasNext()) {
            cached -= oldest.next();
            oldest.remove();
        }
    }
}
