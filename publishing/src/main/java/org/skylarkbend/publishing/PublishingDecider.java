package org.skylarkbend.publishing;

import java.util.Optional;
import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.publishing.PublishResult.Accepted;
import org.skylarkbend.publishing.PublishResult.Conflict;
import org.skylarkbend.publishing.PublishResult.Refused;
import org.skylarkbend.publishing.PublishingMessage.Publish;

/**
 * Decides whether published sets are accepted.
 *
 * <p>The leader validates a set with {@link #check} before it appends it to the log; {@link #apply}
 * then decides, in log order, whether the set is accepted. Validation thus happens once, on one
 * member, so that members that run different versions of this program cannot disagree about it.
 */
public final class PublishingDecider {
    private static final PublishId NOTHING_PUBLISHED = new PublishId("none");

    private PublishingDecider() {}

    /**
     * Returns the result of a publish that needs no log entry: a retry, or a set that is invalid.
     *
     * @param state the state, confirmed by the quorum to be the newest
     * @param current the parsed set of that state
     * @param publish the publish that the operator sent
     * @param nowEpochMilliseconds the current time, used to check the deadlines of new moves
     * @return the result, or empty if the publish must be appended to the log
     */
    public static Optional<PublishResult> check(
            PublishingState state,
            PublishedSet current,
            Publish publish,
            long nowEpochMilliseconds) {
        Optional<PublishResult> earlier = findEarlierResult(state, publish);
        if (earlier.isPresent()) {
            return earlier;
        }
        SetContext context = new SetContext(current, nowEpochMilliseconds);
        Result<PublishedSet> read = SetReader.readText("set", publish.yaml(), context);
        return read.fold(set -> Optional.empty(), error -> Optional.of(new Refused(error)));
    }

    /** Applies a committed publish; a retry returns its original result and changes nothing. */
    public static PublishingTransition apply(PublishingState state, Publish publish) {
        Optional<PublishResult> earlier = findEarlierResult(state, publish);
        if (earlier.isPresent()) {
            return new PublishingTransition(state, earlier.get());
        }
        if (publish.baseRevision() != state.revision()) {
            return remember(state, publish, conflict(state, publish.baseRevision()));
        }
        PublishingState accepted = state.withAccepted(publish.yaml());
        return remember(accepted, publish, new Accepted(accepted.revision()));
    }

    private static Optional<PublishResult> findEarlierResult(
            PublishingState state, Publish publish) {
        return state.findPublish(publish.publishId())
                .map(r -> r.isSameAs(publish) ? r.result() : reusedPublishId(publish));
    }

    private static PublishResult reusedPublishId(Publish publish) {
        String detail =
                "the publish ID "
                        + publish.publishId()
                        + " was used for another set or base revision; use a new ID";
        return new Refused(new SkylarkError(ErrorKind.BAD_REQUEST, detail));
    }

    private static PublishResult conflict(PublishingState state, long baseRevision) {
        long winner =
                state.findRevision(baseRevision + 1).isPresent()
                        ? baseRevision + 1
                        : state.revision();
        PublishId winningId =
                state.findRevision(winner)
                        .map(RememberedPublish::publishId)
                        .orElse(NOTHING_PUBLISHED);
        return new Conflict(winner, winningId);
    }

    private static PublishingTransition remember(
            PublishingState state, Publish publish, PublishResult result) {
        RememberedPublish remembered = RememberedPublish.of(publish, result);
        return new PublishingTransition(state.withRemembered(remembered), result);
    }
}
