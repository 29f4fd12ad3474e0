package org.skylarkbend.control.site;

import com.codahale.metrics.Counter;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.skylarkbend.base.Effects;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Endpoint;
import org.skylarkbend.catalog.EndpointSource;
import org.skylarkbend.catalog.Endpoints;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.orders.weights.LoadAnswer;
import org.skylarkbend.orders.weights.WeightsDecider;
import org.skylarkbend.orders.weights.WeightsEffect;
import org.skylarkbend.orders.weights.WeightsEffect.Load;
import org.skylarkbend.orders.weights.WeightsEffect.RequestReport;
import org.skylarkbend.orders.weights.WeightsMessage;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.CommandLost;
import org.skylarkbend.orders.weights.WeightsMessage.CommandTaken;
import org.skylarkbend.orders.weights.WeightsMessage.Engine;
import org.skylarkbend.orders.weights.WeightsMessage.EnginesListed;
import org.skylarkbend.orders.weights.WeightsMessage.OrderCompleted;
import org.skylarkbend.orders.weights.WeightsMessage.ReportFailed;
import org.skylarkbend.orders.weights.WeightsMessage.TargetVersionsChanged;
import org.skylarkbend.orders.weights.WeightsMessage.Tick;

/**
 * Polls the platform's endpoint list while this member leads, publishes it to the gateways, and
 * orders engines to load weights.
 */
public final class EndpointsTask extends VerticleBase {
    private static final StructuredLog LOG = StructuredLog.of(EndpointsTask.class);

    /**
     * The poll interval of the endpoint list; must be well below the notice period of leaving
     * endpoints.
     */
    private static final long LIST_POLL_MILLISECONDS = 500;

    private static final long TICK_MILLISECONDS = 100;

    /** The minimum interval between notifications, each of which goes to every gateway. */
    private static final long MIN_NOTIFY_INTERVAL_MILLISECONDS = 50;

    private final EndpointSource mSource;
    private final EngineCommands mCommands;
    private final ControlLog mLog;
    private final WeightsDecider mWeights;
    private final MillisecondClock mClock;
    private final MillisecondClock mWall;
    private final Counter mUnnamed;
    private final BiConsumer<Optional<Endpoints>, Endpoints> mOnChange;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private Optional<Set<String>> mServices = Optional.empty();
    private Set<String> mUnnamedEngines = Set.of();
    private Context mContext;
    private Leadership mLeadership = Leadership.unknown();
    private Optional<Endpoints> mLastNotified = Optional.empty();
    private long mLastNotifiedMilliseconds = Long.MIN_VALUE / 2;
    private boolean mNotifyScheduled;
    private boolean mListKnown;
    private boolean mListReadAsLeader;
    private boolean mListInFlight;

    /**
     * Creates a task that stays passive until this member becomes the leader.
     *
     * @param source lists the endpoints
     * @param commands sends requests and orders to engines
     * @param log the replicated log, in which each order is announced before it is sent
     * @param weights decides which orders to send
     * @param clock a monotonic clock
     * @param wall the clock for the timestamps of log entries
     * @param unnamed counts engines of services that the catalog does not name, which get no orders
     * @param onChange called on the context of the task with the previous and the new endpoint data
     *     for gateways; without the previous data when this member has begun to lead
     */
    public EndpointsTask(
            EndpointSource source,
            EngineCommands commands,
            ControlLog log,
            WeightsDecider weights,
            MillisecondClock clock,
            MillisecondClock wall,
            Counter unnamed,
            BiConsumer<Optional<Endpoints>, Endpoints> onChange) {
        mSource = source;
        mCommands = commands;
        mLog = log;
        mWeights = weights;
        mClock = clock;
        mWall = wall;
        mUnnamed = unnamed;
        mOnChange = onChange;
    }

    @Override
    public Future<?> start() {
        mContext = context;
        vertx.setPeriodic(LIST_POLL_MILLISECONDS, id -> list());
        vertx.setPeriodic(TICK_MILLISECONDS, id -> tick());
        return Future.succeededFuture();
    }

    /** Stops commanding. An order that is announced but not sent yet is left to the next leader. */
    @Override
    public Future<?> stop() {
        leadershipChanged(Leadership.unknown());
        return Future.succeededFuture();
    }

    /** Notifies the task of a leadership change. */
    public void post(Leadership leadership) {
        mContext.runOnContext(ignored -> leadershipChanged(leadership));
    }

    /** Notifies the task of the latest weights versions by model. */
    public void postWeights(Map<String, Long> versions) {
        mContext.runOnContext(ignored -> decide(new TargetVersionsChanged(versions)));
    }

    /** Notifies the task of the services that the catalog in force names. */
    public void postServices(Set<String> services) {
        mContext.runOnContext(ignored -> mServices = Optional.of(services));
    }

    /** Notifies the task of an order that was announced in the log. */
    public void postAnnounced(Announced announced) {
        mContext.runOnContext(ignored -> decide(announced));
    }

    private void leadershipChanged(Leadership leadership) {
        boolean continues = leadership.continues(mLeadership);
        mLeadership = leadership;
        if (!continues) {
            mListKnown = false;
            mListReadAsLeader = false;
            mLastNotified = Optional.empty();
            decide(leadership.leads() ? new CommandTaken(leadership.term()) : new CommandLost());
            list();
        }
    }

    private void tick() {
        if (mLeadership.leads()) {
            decide(new Tick());
        }
    }

    private void list() {
        if (!mLeadership.leads() || mListInFlight) {
            return;
        }
        Leadership leadership = mLeadership;
        mListInFlight = true;
        mSource.list()
                .onComplete(
                        done -> {
                            mListInFlight = false;
                            if (!mLeadership.continues(leadership)) {
                                list();
                            } else if (done.succeeded()) {
                                listReceived(done.result());
                            }
                        });
    }

    private void listReceived(Result<List<Endpoint>> result) {
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
        Set<String> unnamed = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            mEndpoints.put(endpoint.incarnation(), endpoint);
            if (endpoint.leaving() || endpoint.weights().isEmpty()) {
                continue;
            }
            if (isNamed(endpoint.service())) {
                engines.add(new Engine(endpoint.incarnation(), endpoint.weights()));
            } else {
                unnamed.add(endpoint.incarnation());
            }
        }
        noteUnnamed(unnamed);
        mListReadAsLeader = true;
        decide(new EnginesListed(engines));
        notifyGateways();
    }

    /**
     * Returns whether the catalog names a service; while no catalog is known, each may be named.
     */
    private boolean isNamed(String service) {
        return mServices.map(services -> services.contains(service)).orElse(true);
    }

    private void noteUnnamed(Set<String> engines) {
        engines.stream()
                .filter(engine -> !mUnnamedEngines.contains(engine))
                .forEach(
                        engine -> {
                            mUnnamed.inc();
                            LOG.info(
                                    "engine.unnamed_service",
                                    "engine",
                                    engine,
                                    "service",
                                    mEndpoints.get(engine).service());
                        });
        mUnnamedEngines = engines;
    }

    /**
     * Notifies gateways immediately, or, within the minimum interval after a notification, batches
     * the changes until its end.
     */
    private void notifyGateways() {
        long waitMilliseconds =
                mLastNotifiedMilliseconds
                        + MIN_NOTIFY_INTERVAL_MILLISECONDS
                        - mClock.nowMilliseconds();
        if (waitMilliseconds <= 0) {
            notifyGatewaysNow();
        } else if (!mNotifyScheduled) {
            mNotifyScheduled = true;
            vertx.setTimer(
                    waitMilliseconds,
                    id -> {
                        mNotifyScheduled = false;
                        notifyGatewaysNow();
                    });
        }
    }

    private void notifyGatewaysNow() {
        if (!mListReadAsLeader) {
            return;
        }
        List<Endpoint> known = mEndpoints.values().stream().map(this::withReportedWeights).toList();
        List<Endpoint> sorted = new ArrayList<>(known);
        sorted.sort(java.util.Comparator.comparing(Endpoint::incarnation));
        Endpoints now = new Endpoints(sorted, mWeights.loading());
        if (!mLastNotified.equals(Optional.of(now))) {
            Optional<Endpoints> previous = mLastNotified;
            mLastNotified = Optional.of(now);
            mLastNotifiedMilliseconds = mClock.nowMilliseconds();
            mOnChange.accept(previous, now);
        }
    }

    private Endpoint withReportedWeights(Endpoint endpoint) {
        Map<String, Long> weights = mWeights.weightsOf(endpoint.incarnation());
        return weights.isEmpty() ? endpoint : endpoint.withWeights(weights);
    }

    private void decide(WeightsMessage message) {
        List<WeightsEffect> effects = mWeights.decide(message, mClock.nowMilliseconds());
        Effects.executeEach(effects, this::execute, (effect, cause) -> notSent(effect));
    }

    /** Takes back a request or order that was not sent, so that it is tried again. */
    private void notSent(WeightsEffect effect) {
        if (effect instanceof RequestReport request) {
            reportFailed(request.engine());
        } else if (effect instanceof Load load) {
            mContext.runOnContext(ignored -> orderAnswered(load, LoadAnswer.REFUSED));
        }
    }

    private void reportFailed(String engine) {
        mContext.runOnContext(ignored -> decide(new ReportFailed(engine, 0)));
    }

    private void execute(WeightsEffect effect) {
        if (effect instanceof RequestReport request) {
            requestReport(request.engine());
        } else if (effect instanceof Load load) {
            order(load);
        } else if (mListKnown) {
            notifyGateways();
        }
    }

    private void requestReport(String engine) {
        Endpoint endpoint = mEndpoints.get(engine);
        if (endpoint == null) {
            reportFailed(engine);
            return;
        }
        mCommands.report(endpoint).onSuccess(this::decide).onFailure(e -> reportFailed(engine));
    }

    /**
     * Announces an order in the log and sends it once the announcement is committed. The commit
     * proves that this member was the leader and that it knows all earlier announcements of other
     * members.
     */
    private void order(Load load) {
        byte[] announced = OrdersSlice.encode(new Announced(load.engine(), load.fencingNumber()));
        mLog.propose(new ControlEntry(OrdersSlice.NAME, mWall.nowMilliseconds(), announced))
                .onSuccess(result -> mContext.runOnContext(ignored -> order(load, result)))
                .onFailure(e -> notSent(load));
    }

    private void order(Load load, Result<byte[]> announcement) {
        Endpoint endpoint = mEndpoints.get(load.engine());
        boolean commands =
                announcement.isSuccess()
                        && mLeadership.leads()
                        && mLeadership.term() == load.fencingNumber()
                        && mWeights.mayOrder(load.engine(), mClock.nowMilliseconds());
        if (endpoint == null || !commands) {
            orderAnswered(load, LoadAnswer.REFUSED);
        } else {
            Effects.executeEach(
                    List.of(load),
                    order -> send(endpoint, order),
                    (order, cause) -> notSent(order));
        }
    }

    private void send(Endpoint endpoint, Load load) {
        mCommands
                .load(endpoint, load)
                .onSuccess(answer -> orderAnswered(load, answer))
                .onFailure(e -> orderAnswered(load, LoadAnswer.UNKNOWN));
    }

    private void orderAnswered(Load load, LoadAnswer answer) {
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
        decide(new OrderCompleted(load.engine(), answer));
    }
}
