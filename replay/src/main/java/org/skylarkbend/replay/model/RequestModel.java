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

/** One request on its way: placed, sent, placed again after a failure, served or refused. */
final class RequestModel implements EngineListener {
    private static final long HOP_MILLISECONDS = 1;
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
        mRank = request.atMilliseconds() + route.priority() * run.model().ageingMilliseconds();
        run.loop().after(route.deadlineMilliseconds(), this::deadline);
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
            mRun.loop().after(RETRY_MILLISECONDS, this::place);
            return;
        }
        mAttempt = mRun.nextAttempt();
        mRouter.tell(new RequestSent(mAttempt, choice.get(), mRequest));
        mRun.loop().after(HOP_MILLISECONDS, () -> submit(choice.get()));
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

    private void deadline() {
        if (mServed) {
            return;
        }
        mRefused = true;
        mRun.measures().refusedInsideRate(mTraceRequest);
        mRouter.tell(new RequestFailed(mAttempt));
        if (mJob != null) {
            mEngine.cancel(mJob);
        }
    }

    @Override
    public void firstToken(int cachedBlocks) {
        mRun.computed(mRequest, cachedBlocks);
        mRun.loop().after(HOP_MILLISECONDS, () -> mRouter.tell(new FirstTokenReceived(mAttempt)));
        if (!mServed) {
            mServed = true;
            long waited =
                    mRun.loop().nowMilliseconds()
                            + HOP_MILLISECONDS
                            - mTraceRequest.atMilliseconds();
            mRun.measures().served(mTraceRequest, mRoute.priority(), waited, cachedBlocks);
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
            mRun.loop().after(HOP_MILLISECONDS, this::place);
        }
    }
}
