package org.skylarkbend.publishing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkbend.publishing.PublishResult.Accepted;

/**
 * The replicated state of publishing after a log entry was applied.
 *
 * @param revision the newest accepted revision; 0 before the first
 * @param yaml the YAML text of the set of that revision
 * @param remembered the latest publishes with a result, oldest first, at most {@link
 *     #MAX_REMEMBERED}
 */
public record PublishingState(long revision, String yaml, List<RememberedPublish> remembered) {
    /**
     * Maximum number of remembered publishes. A retry of an older publish gets a conflict, because
     * its base revision is no longer the newest.
     */
    public static final int MAX_REMEMBERED = 1_024;

    /** Makes an unmodifiable copy of the list. */
    public PublishingState {
        remembered = List.copyOf(remembered);
    }

    /** Returns the state before the first publish. */
    public static PublishingState empty() {
        return new PublishingState(0, "", List.of());
    }

    /** Returns the remembered publish with this ID, if any. */
    public Optional<RememberedPublish> findPublish(PublishId publishId) {
        return remembered.stream().filter(r -> r.publishId().equals(publishId)).findFirst();
    }

    /** Returns the publish that was accepted under this revision, if it is still remembered. */
    public Optional<RememberedPublish> findRevision(long acceptedRevision) {
        PublishResult accepted = new Accepted(acceptedRevision);
        return remembered.stream().filter(r -> r.result().equals(accepted)).findFirst();
    }

    /** Returns a copy that also remembers this publish and drops the oldest beyond the limit. */
    PublishingState withRemembered(RememberedPublish publish) {
        return new PublishingState(revision, yaml, appended(publish));
    }

    /** Returns a copy with this set as the next revision. */
    PublishingState withAccepted(String acceptedYaml) {
        return new PublishingState(revision + 1, acceptedYaml, remembered);
    }

    private List<RememberedPublish> appended(RememberedPublish publish) {
        List<RememberedPublish> all = new ArrayList<>(remembered);
        all.add(publish);
        return all.subList(Math.max(0, all.size() - MAX_REMEMBERED), all.size());
    }
}
