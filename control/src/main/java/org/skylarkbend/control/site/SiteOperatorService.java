package org.skylarkbend.control.site;

import io.vertx.core.Future;
import java.util.Map;
import java.util.Optional;
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

/**
 * What operators may ask of a site's control, whatever the form of their calls.
 *
 * <p>It belongs to the task that serves operators; what the log changed reaches it by messages on
 * that task's context. Only the leader answers: {@code NO_LEADER} sends the caller to another VM.
 */
public final class SiteOperatorService {
    private static final StructuredLog LOG = StructuredLog.of(SiteOperatorService.class);

    private final ControlLog mLog;
    private final CatalogReader mReader;
    private final MillisecondClock mWall;
    private NumberedDocument mDocument = NumberedDocument.none();
    private Map<String, Long> mWeights = Map.of();
    private Leadership mLeadership = Leadership.unknown();

    /** A service that knows nothing yet. */
    public SiteOperatorService(ControlLog log, CatalogReader reader, MillisecondClock wall) {
        mLog = log;
        mReader = reader;
        mWall = wall;
    }

    /** Who leads. */
    public void leadershipChanged(Leadership leadership) {
        mLeadership = leadership;
    }

    /** A document has come into force. */
    public void documentChanged(NumberedDocument document) {
        mDocument = document;
    }

    /** Versions of weights were named. */
    public void weightsChanged(Map<String, Long> versions) {
        mWeights = versions;
    }

    /** The VM that leads, if it is known and another one. */
    public Optional<ObjectName> leaderElsewhere() {
        return mLeadership.leads() ? Optional.empty() : mLeadership.leader();
    }

    /** Publishes a document. The answer is its number, once it is stored. */
    public Future<Result<Long>> publish(String text) {
        Result<Catalog> read = mReader.read(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return read.fold(
                catalog -> publish(catalog, text),
                error -> {
                    LOG.info("site.publish.refused", "detail", error.detail());
                    return Future.succeededFuture(Result.failure(error));
                });
    }

    /** The newest document. */
    public Future<Result<NumberedDocument>> current() {
        return confirmed().map(result -> result.flatMap(index -> present()));
    }

    /** Names the newest version of a model's weights. */
    public Future<Result<Long>> nameWeights(String model, long version) {
        return confirmed()
                .compose(
                        result ->
                                result.fold(
                                        index -> nameWeightsAsLeader(model, version),
                                        error -> Future.succeededFuture(Result.failure(error))));
    }

    private Future<Result<Long>> publish(Catalog catalog, String text) {
        Optional<String> problem = catalog.problem();
        if (problem.isPresent()) {
            LOG.info("site.publish.refused", "number", catalog.number(), "detail", problem.get());
            return Future.succeededFuture(Result.failure(ErrorKind.SET_INVALID, problem.get()));
        }
        return confirmed()
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

    private Future<Result<Long>> nameWeightsAsLeader(String model, long version) {
        if (version <= mWeights.getOrDefault(model, 0L)) {
            return Future.succeededFuture(Result.success(version));
        }
        return propose(WeightsSlice.NAME, WeightsSlice.encode(Map.of(model, version)))
                .map(result -> result.map(applied -> version));
    }

    private Result<NumberedDocument> present() {
        return mDocument.isPresent()
                ? Result.success(mDocument)
                : Result.failure(ErrorKind.NO_LEADER, "nothing was published yet");
    }

    private Future<Result<Long>> confirmed() {
        return mLeadership.leads()
                ? mLog.confirmLeadership()
                : Future.succeededFuture(
                        Result.failure(ErrorKind.NO_LEADER, "this control VM does not lead"));
    }

    private Future<Result<byte[]>> propose(String slice, byte[] payload) {
        return mLog.propose(new ControlEntry(slice, mWall.nowMilliseconds(), payload));
    }
}
