package org.skylarkbend.publishing;

import java.util.Objects;

/** A command of the publishing slice. */
public sealed interface PublishingMessage {
    /** The name under which the slice stores its entries in the log. */
    String SLICE = "publishing";

    /**
     * An operator publishes a set.
     *
     * @param publishId the ID that the operator chose for this publish
     * @param baseRevision the revision on which the set is based
     * @param yaml the YAML text of the set
     */
    record Publish(PublishId publishId, long baseRevision, String yaml)
            implements PublishingMessage {
        /** Rejects null components and a negative base revision. */
        public Publish {
            Objects.requireNonNull(publishId);
            Objects.requireNonNull(yaml);
            if (baseRevision < 0) {
                throw new IllegalArgumentException("negative base revision: " + baseRevision);
            }
        }
    }
}
