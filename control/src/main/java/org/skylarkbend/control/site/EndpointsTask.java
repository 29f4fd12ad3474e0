package org.skylarkbend.control.site;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.SiteMessage.Endpoints;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsDecider;
import org.skylarkbend.orders.weights.WeightsEffect;
import org.skylarkbend.orders.weights.WeightsEffect.AskReport;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsMessage;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.Answered;
import org.skylarkbend.orders.weights.WeightsMessage.Engine;
import org.skylarkbend.orders.weights.WeightsMessage.Listed;
import org.skylarkbend.orders.weights.WeightsMessage.LostCommand;
import org.skylarkbend.orders.weights.WeightsMessage.Named;
import org.skylarkbend.orders.weights.WeightsMessage.ReportFailed;
import org.skylarkbend.orders.weights.WeightsMessage.Tick;
import org.skylarkbend.orders.weights.WeightsMessage.TookCommand;

/**
 * Follows the platform's list of endpoints while this member leads, tells the gateways of it, and
 * commands the engines over their weights.
 */
public final class EndpointsTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(EndpointsTask.class);

    /** How often the platform's list is read: well within the time that leaving endpoints get. */
    private static final long LIST_MILLISECONDS = 500;

    private static final long TICK_MILLISECONDS = 100;

    /** Each telling is read by every gateway; with 98 engines one has 10 KB. */
    private static final long LEAST_TELL_MILLISECONDS = 50;

    private final EndpointSource mSource;
    private final EngineCommands mCommands;
    private final ControlLog mLog;
    private final WeightsDecider mWeights;
    private final MillisecondClock mClock;
    private final MillisecondClock mWall;
    private final Consumer<Endpoints> mOnChange;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private Context mContext;
    private Leadership mLeadership = Leadership.unknown();
    private Endpoints mTold = new Endpoints(List.of(), Set.of());
    private long mToldMilliseconds = Long.MIN_VALUE / 2;
    private boolean mTellWaits;
    private boolean mListKnown;
    private boolean mListing;

    /**
     * A task that does nothing until this member leads.
     *
     * @param source where the endpoints are listed
     * @param commands how engines are ordered
     * @param log announces each order before it is given
     * @param weights decides upon orders
     * @param clock a clock that never steps back
     * @param wall the clock that stamps entries of the log
     * @param onChange told on the task's context when what gateways should know has changed
     */
    public EndpointsTask(
            EndpointSource source,
            EngineCommands commands,
            ControlLog log,
            WeightsDecider weights,
            MillisecondClock clock,
            MillisecondClock wall,
            Consumer<Endpoints> onChange) {
        mSource = source;
        mCommands = commands;
        mLog = log;
        mWeights = weights;
        mClock = clock;
        mWall = wall;
        mOnChange = onChange;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        vertx.setPeriodic(LIST_MILLISECONDS, id -> list());
        vertx.setPeriodic(TICK_MILLISECONDS, id -> tick());
        return Future.succeededFuture();
    }

    /** Tells the task who leads. */
    public void post(Leadership leadership) {
        mContext.runOnContext(nothing -> leadershipChanged(leadership));
    }

    /** Tells the task the newest versions of weights. */
    public void postWeights(Map<String, Long> versions) {
        mContext.runOnContext(nothing -> decide(new Named(versions)));
    }

    /** Tells the task of an announced order. */
    public void postAnnounced(Announced announced) {
        mContext.runOnContext(nothing -> decide(announced));
    }

    private void leadershipChanged(Leadership leadership) {
        boolean goesOn =
                mLeadership.leads()
                        && leadership.leads()
                        && mLeadership.term() == leadership.term();
        mLeadership = leadership;
        if (!goesOn) {
            mListKnown = false;
            decide(leadership.leads() ? new TookCommand(leadership.term()) : new LostCommand());
            list();
        }
    }

    private void tick() {
        if (mLeadership.leads()) {
            decide(new Tick());
        }
    }

    private void list() {
        if (!mLeadership.leads() || mListing) {
            return;
        }
        mListing = true;
        mSource.list()
                .onComplete(
                        done -> {
                            mListing = false;
                            if (done.succeeded()) {
                                listed(done.result());
                            }
                        });
    }

    private void listed(Result<List<Endpoint>> result) {
        result.match(
                endpoints -> {
                    if (!mListKnown) {
                        LOG.info("endpoints.list.reached", "endpoints", endpoints.size());
                    }
                    mListKnown = true;
                    replace(endpoints);
                },
                error -> {
                    if (mListKnown) {
                        LOG.warn("endpoints.list.lost", "detail", error.detail());
                    }
                    mListKnown = false;
                });
    }

    private void replace(List<Endpoint> endpoints) {
        mEndpoints.clear();
        List<Engine> engines = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            mEndpoints.put(endpoint.incarnation(), endpoint);
            if (!endpoint.leaving() && !endpoint.weights().isEmpty()) {
                engines.add(new Engine(endpoint.incarnation(), endpoint.weights()));
            }
        }
        decide(new Listed(engines));
        tell();
    }

    /** Tells gateways at once, but what changes soon after that together. */
    private void tell() {
        long waitMilliseconds =
                mToldMilliseconds + LEAST_TELL_MILLISECONDS - mClock.nowMilliseconds();
        if (waitMilliseconds <= 0) {
            tellNow();
        } else if (!mTellWaits) {
            mTellWaits = true;
            vertx.setTimer(
                    waitMilliseconds,
                    id -> {
                        mTellWaits = false;
                        tellNow();
                    });
        }
    }

    private void tellNow() {
        List<Endpoint> known = mEndpoints.values().stream().map(this::asKnown).toList();
        List<Endpoint> sorted = new ArrayList<>(known);
        sorted.sort(java.util.Comparator.comparing(Endpoint::incarnation));
        Endpoints now = new Endpoints(sorted, mWeights.loading());
        if (!now.equals(mTold)) {
            mTold = now;
            mToldMilliseconds = mClock.nowMilliseconds();
            mOnChange.accept(now);
        }
    }

    private Endpoint asKnown(Endpoint endpoint) {
        Map<String, Long> weights = mWeights.weightsOf(endpoint.incarnation());
        return weights.isEmpty() ? endpoint : endpoint.withWeights(weights);
    }

    private void decide(WeightsMessage message) {
        List<WeightsEffect> effects = mWeights.decide(message, mClock.nowMilliseconds());
        effects.forEach(this::carryOut);
    }

    private void carryOut(WeightsEffect effect) {
        if (effect instanceof AskReport ask) {
            ask(ask.engine());
        } else if (effect instanceof Load load) {
            order(load);
        } else if (mListKnown) {
            tell();
        }
    }

    private void ask(String engine) {
        Endpoint endpoint = mEndpoints.get(engine);
        if (endpoint == null) {
            mContext.runOnContext(nothing -> decide(new ReportFailed(engine)));
            return;
        }
        mCommands
                .report(endpoint)
                .onSuccess(
                        result ->
                                decide(
                                        result.fold(
                                                reported -> (WeightsMessage) reported,
                                                error -> new ReportFailed(engine))));
    }

    /**
     * Announces an order, and gives it when the log holds the announcement: this member led then,
     * and knows of all that others have announced before.
     */
    private void order(Load load) {
        byte[] announced = OrdersSlice.encode(new Announced(load.engine(), load.fencingNumber()));
        mLog.propose(new ControlEntry(OrdersSlice.NAME, mWall.nowMilliseconds(), announced))
                .onSuccess(result -> mContext.runOnContext(nothing -> order(load, result)));
    }

    private void order(Load load, Result<byte[]> announcement) {
        Endpoint endpoint = mEndpoints.get(load.engine());
        boolean commands =
                announcement.isSuccess()
                        && mLeadership.leads()
                        && mLeadership.term() == load.fencingNumber()
                        && mWeights.mayOrder(load.engine(), mClock.nowMilliseconds());
        if (endpoint == null || !commands) {
            answered(load, LoadAnswer.REFUSED);
        } else {
            mCommands.load(endpoint, load).onSuccess(answer -> answered(load, answer));
        }
    }

    private void answered(Load load, LoadAnswer answer) {
        LOG.info(
                "weights.ordered",
                "engine",
                load.engine(),
                "model",
                load.model(),
                "version",
                load.version(),
                "fencing_number",
                load.fencingNumber(),
                "expected_orders",
                load.expectedOrders(),
                "answer",
                answer);
        decide(new Answered(load.engine(), answer));
    }
}
