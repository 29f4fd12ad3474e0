package org.skylarkbend.publishing;

import org.skylarkbend.base.SkylarkError;

/** The outcome of a publish, as returned to the operator. */
public sealed interface PublishResult {
    /** The set was committed under this revision. */
    record Accepted(long revision) implements PublishResult {}

    /**
     * Another set was accepted on the base revision.
     *
     * @param winningRevision the revision that was accepted on the same base, or the newest one if
     *     the base is too old to be remembered or has not been published yet
     * @param winningPublishId the publish ID under which that revision was published
     */
    record Conflict(long winningRevision, PublishId winningPublishId) implements PublishResult {}

    /** The set is invalid, or its publish ID was used for another set. Nothing is recorded. */
    record Refused(SkylarkError error) implements PublishResult {}
}
