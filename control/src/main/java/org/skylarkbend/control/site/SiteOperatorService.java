package org.skylarkbend.control.site;

import io.vertx.core.Future;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.MillisecondClock;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.catalog.Catalog;
import org.skylarkbend.catalog.CatalogReader;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.Leadership;
import org.skylarkbend.moves.rollout.Rollout;
import org.skylarkbend.moves.rollout.RolloutCodec;
import org.skylarkbend.moves.rollout.RolloutMessage;
import org.skylarkbend.moves.rollout.RolloutState;

/**
 * The operations available to operators of a site, independent of the front end.
 *
 * <p>Confined to the task that serves operators; committed changes are posted to the context of
 * that task. Only the leader accepts requests. On other members they fail with {@code NO_LEADER},
 * and the caller retries on another VM.
 */
public final class SiteOperatorService {
    private static final StructuredLog LOG = StructuredLog.of(SiteOperatorService.class);

    private final ControlLog mLog;
    private final CatalogReader mReader;
    private final MillisecondClock mWall;
    private final Set<String> mDataCentres;
    private NumberedDocument mDocument = NumberedDocument.none();
    private Map<String, Long> mWeights = Map.of();
    private Set<String> mEvacuated = Set.of();
    private RolloutState mRollouts = RolloutState.empty();
    private Leadership mLeadership = Leadership.unknown();

    /**
     * Creates a service without a known leader, document or weights.
     *
     * @param log the replicated log
     * @param reader parses the documents of operators
     * @param wall the clock for the timestamps of log entries
     * @param dataCentres the data centres of the site; empty if they are not known
     */
    public SiteOperatorService(
            ControlLog log, CatalogReader reader, MillisecondClock wall, Set<String> dataCentres) {
        mDataCentres = Set.copyOf(dataCentres);
        mLog = log;
        mReader = reader;
        mWall = wall;
    }

    /** Notifies the service of a leadership change. */
    public void leadershipChanged(Leadership leadership) {
        mLeadership = leadership;
    }

    /** Notifies the service that a document has come into force. */
    public void documentChanged(NumberedDocument document) {
        mDocument = document;
    }

    /** Notifies the service of the latest weights versions by model. */
    public void weightsChanged(Map<String, Long> versions) {
        mWeights = versions;
    }

    /** Notifies the service of a change of the rollouts. */
    public void rolloutsChanged(RolloutState state) {
        mRollouts = state;
    }

    /** Notifies the service of the evacuated data centres. */
    public void evacuationsChanged(Set<String> dataCentres) {
        mEvacuated = dataCentres;
    }

    /** Returns the VM of the leader, or empty if it is unknown or this VM. */
    public Optional<ObjectName> leaderElsewhere() {
        return mLeadership.leads() ? Optional.empty() : mLeadership.leader();
    }

    /**
     * Publishes a document. Returns its number once the document is committed, or the number alone
     * if it is not higher than that of the document in force. Fails if the document is invalid.
     */
    public Future<Result<Long>> publish(String text) {
        Result<Catalog> read = mReader.read(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return read.fold(
                catalog -> publish(catalog, text),
                error -> {
                    LOG.info("site.publish.refused", "detail", error.detail());
                    return Future.succeededFuture(Result.failure(error));
                });
    }

    /** Returns the document in force; fails with {@code NO_LEADER} if there is none. */
    public Future<Result<NumberedDocument>> current() {
        return requireLeadership().map(result -> result.flatMap(index -> documentInForce()));
    }

    /**
     * Sets the latest version of a model's weights and returns the given version. A version that is
     * not higher than the one already set changes nothing.
     */
    public Future<Result<Long>> setWeightsVersion(String model, long version) {
        return requireLeadership()
                .compose(
                        result ->
                                result.fold(
                                        index -> setWeightsVersionAsLeader(model, version),
                                        error -> Future.succeededFuture(Result.failure(error))));
    }

    /**
     * Orders the rollout of a new version and returns the version. The order of a version that is
     * being brought in, or was just now, changes nothing. Fails with {@code SET_INVALID} if the
     * catalog in force has no such service, and with {@code REVISION_CONFLICT} while another
     * version is being brought in.
     */
    public Future<Result<String>> startRollout(RolloutMessage.Ordered order) {
        return requireLeadership()
                .compose(
                        result ->
                                result.flatMap(index -> checked(order))
                                        .fold(
                                                this::proposeRollout,
                                                error ->
                                                        Future.succeededFuture(
                                                                Result.failure(error))));
    }

    /** Returns the latest rollout of a service; fails with {@code ROUTE_UNKNOWN} if it has none. */
    public Future<Result<Rollout>> rolloutOf(String service) {
        return requireLeadership()
                .map(
                        result ->
                                result.flatMap(
                                        index ->
                                                mRollouts
                                                        .of(service)
                                                        .map(Result::success)
                                                        .orElse(
                                                                Result.failure(
                                                                        ErrorKind.ROUTE_UNKNOWN,
                                                                        "no rollout of "
                                                                                + service))));
    }

    /**
     * Orders that the endpoints of a data centre get no more calls, and returns its name once the
     * order is committed. Fails with {@code SET_INVALID} if the site has no such data centre. An
     * order that is repeated changes nothing.
     */
    public Future<Result<String>> evacuate(String dataCentre) {
        return proposeEvacuation(dataCentre, EvacuationsSlice.encodeEvacuated(dataCentre));
    }

    /** Withdraws the order to evacuate a data centre, on the same terms as {@link #evacuate}. */
    public Future<Result<String>> withdrawEvacuation(String dataCentre) {
        return proposeEvacuation(dataCentre, EvacuationsSlice.encodeWithdrawn(dataCentre));
    }

    /** Returns the evacuated data centres; fails with {@code NO_LEADER} if that is uncertain. */
    public Future<Result<Set<String>>> evacuated() {
        return requireLeadership().map(result -> result.map(index -> mEvacuated));
    }

    private Future<Result<String>> proposeEvacuation(String dataCentre, byte[] change) {
        if (!mDataCentres.isEmpty() && !mDataCentres.contains(dataCentre)) {
            return Future.succeededFuture(
                    Result.failure(
                            ErrorKind.SET_INVALID,
                            "unknown data centre " + dataCentre + ", known are " + mDataCentres));
        }
        return mLeadership.leads()
                ? propose(EvacuationsSlice.NAME, change)
                        .map(result -> result.map(applied -> dataCentre))
                : requireLeadership().map(result -> result.map(index -> dataCentre));
    }

    private Result<RolloutMessage.Ordered> checked(RolloutMessage.Ordered order) {
        return documentInForce()
                .flatMap(document -> mReader.readPublished(document.bytes()))
                .flatMap(
                        catalog ->
                                catalog.services().containsKey(order.service())
                                        ? Result.success(order)
                                        : Result.failure(
                                                ErrorKind.SET_INVALID,
                                                "unknown service " + order.service()));
    }

    private Future<Result<String>> proposeRollout(RolloutMessage.Ordered order) {
        LOG.info(
                "rollout.ordered",
                "service",
                order.service(),
                "version",
                order.version(),
                "duration_milliseconds",
                order.durationMilliseconds());
        return propose(RolloutCodec.SLICE, RolloutCodec.encode(order))
                .map(result -> result.map(applied -> order.version()));
    }

    private Future<Result<Long>> publish(Catalog catalog, String text) {
        Optional<String> problem = catalog.problem();
        if (problem.isPresent()) {
            LOG.info("site.publish.refused", "number", catalog.number(), "detail", problem.get());
            return Future.succeededFuture(Result.failure(ErrorKind.SET_INVALID, problem.get()));
        }
        return requireLeadership()
                .compose(
                        result ->
                                result.fold(
                                        index -> publishAsLeader(catalog.number(), text),
                                        error -> Future.succeededFuture(Result.failure(error))));
    }

    private Future<Result<Long>> publishAsLeader(long number, String text) {
        if (number <= mDocument.number()) {
            LOG.info("site.publish.known", "number", number, "newest", mDocument.number());
            return Future.succeededFuture(Result.success(number));
        }
        byte[] entry = CatalogSlice.encode(new NumberedDocument(number, text));
        return propose(CatalogSlice.NAME, entry).map(result -> result.map(applied -> number));
    }

    private Future<Result<Long>> setWeightsVersionAsLeader(String model, long version) {
        if (version <= mWeights.getOrDefault(model, 0L)) {
            return Future.succeededFuture(Result.success(version));
        }
        return propose(WeightsSlice.NAME, WeightsSlice.encode(Map.of(model, version)))
                .map(result -> result.map(applied -> version));
    }

    private Result<NumberedDocument> documentInForce() {
        return mDocument.isPresent()
                ? Result.success(mDocument)
                : Result.failure(ErrorKind.NO_LEADER, "no catalog has been published yet");
    }

    private Future<Result<Long>> requireLeadership() {
        return mLeadership.leads()
                ? mLog.confirmLeadership()
                : Future.succeededFuture(
                        Result.failure(ErrorKind.NO_LEADER, "this control VM is not the leader"));
    }

    private Future<Result<byte[]>> propose(String slice, byte[] payload) {
        return mLog.propose(new ControlEntry(slice, mWall.nowMilliseconds(), payload));
    }
}
