package org.skylarkbend.replay.model;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.placement.CacheScope;
import org.skylarkbend.placement.EngineIncarnation;
import org.skylarkbend.placement.PlacementMessage.FirstTokenReceived;
import org.skylarkbend.placement.PlacementMessage.RequestFailed;
import org.skylarkbend.placement.PlacementMessage.RequestFinished;
import org.skylarkbend.placement.PlacementMessage.RequestSent;
import org.skylarkbend.placement.PlacementRequest;
import org.skylarkbend.placement.PrefixChain;
import org.skylarkbend.replay.trace.TraceRequest;
import org.skylarkbend.replay.trace.TraceRoute;

/** Models a request from placement to response, including retries after engine failures. */
final class RequestModel implements EngineListener {
    private static final long NETWORK_DELAY_MILLISECONDS = 1;
    private static final long RETRY_MILLISECONDS = 200;
    private static final String WEIGHTS = "weights-1";

    private final ReplayRun mRun;
    private final RouterModel mRouter;
    private final TraceRoute mRoute;
    private final TraceRequest mTraceRequest;
    private final CacheScope mScope;
    private final long mRank;
    private final Set<ObjectName> mExcluded = new HashSet<>();
    private String mAttempt = "";
    private PlacementRequest mRequest;
    private EngineModel mEngine;
    private EngineJob mJob;
    private boolean mServed;
    private boolean mRefused;

    RequestModel(ReplayRun run, RouterModel router, TraceRoute route, TraceRequest request) {
        mRun = run;
        mRouter = router;
        mRoute = route;
        mTraceRequest = request;
        mScope = CacheScope.of(request.customer(), WEIGHTS, "");
        mRank = request.atMilliseconds() + route.priority() * run.model().agingMilliseconds();
        run.loop().scheduleAfter(route.deadlineMilliseconds(), this::onDeadlineExpired);
    }

    void place() {
        if (mRefused) {
            return;
        }
        mRequest =
                new PlacementRequest(
                        ReplayRun.POOL,
                        ReplayRun.VERSION,
                        mScope,
                        mTraceRequest.chain(),
                        mRoute.priority(),
                        mTraceRequest.answerTokens(),
                        mExcluded);
        Optional<EngineIncarnation> choice = mRun.choose(mRouter, mRequest, mRank);
        if (choice.isEmpty()) {
            mExcluded.clear();
            mRun.loop().scheduleAfter(RETRY_MILLISECONDS, this::place);
            return;
        }
        mAttempt = mRun.nextAttempt();
        mRouter.tell(new RequestSent(mAttempt, choice.get(), mRequest));
        mRun.loop().scheduleAfter(NETWORK_DELAY_MILLISECONDS, () -> submit(choice.get()));
    }

    private void submit(EngineIncarnation chosen) {
        mEngine = mRun.engine(chosen.endpoint());
        if (!mEngine.live() || !mEngine.incarnation().equals(chosen)) {
            failed();
            return;
        }
        if (!mRefused) {
            mJob = new EngineJob(mRequest, mRank, this);
            mEngine.submit(mJob);
        }
    }

    private void onDeadlineExpired() {
        if (mServed) {
            return;
        }
        mRefused = true;
        mRun.measures().recordRefusedInsideRate(mTraceRequest);
        mRouter.tell(new RequestFailed(mAttempt));
        if (mJob != null) {
            mEngine.cancel(mJob);
        }
    }

    @Override
    public void firstToken(int cachedBlocks) {
        mRun.recordComputed(mRequest, cachedBlocks);
        mRun.loop()
                .scheduleAfter(
                        NETWORK_DELAY_MILLISECONDS,
                        () -> mRouter.tell(new FirstTokenReceived(mAttempt)));
        if (!mServed) {
            mServed = true;
            long waitMilliseconds =
                    mRun.loop().nowMilliseconds()
                            + NETWORK_DELAY_MILLISECONDS
                            - mTraceRequest.atMilliseconds();
            mRun.measures()
                    .recordServed(mTraceRequest, mRoute.priority(), waitMilliseconds, cachedBlocks);
        }
    }

    @Override
    public void finished(int cachedBlocks) {
        mRouter.tell(new RequestFinished(mAttempt, PrefixChain.tokensOf(cachedBlocks)));
    }

    @Override
    public void failed() {
        mRouter.tell(new RequestFailed(mAttempt));
        if (!mServed) {
            mExcluded.add(mEngine.incarnation().endpoint());
            mRun.loop().scheduleAfter(NETWORK_DELAY_MILLISECONDS, this::place);
        }
    }
}
