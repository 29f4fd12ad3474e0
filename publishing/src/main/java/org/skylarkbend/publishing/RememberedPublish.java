package org.skylarkbend.publishing;

import org.skylarkbend.base.Sha256;
import org.skylarkbend.publishing.PublishingMessage.Publish;

/**
 * An answered publish, kept so that a retry gets the same answer.
 *
 * @param publishId the id that the operator chose
 * @param baseRevision the revision on which its set is based
 * @param setDigestSha256 the SHA-256 digest of its YAML text
 * @param answer the original answer
 */
public record RememberedPublish(
        PublishId publishId, long baseRevision, String setDigestSha256, PublishAnswer answer) {
    static RememberedPublish of(Publish publish, PublishAnswer answer) {
        return new RememberedPublish(
                publish.publishId(), publish.baseRevision(), digestOf(publish), answer);
    }

    /** Returns whether the publish is a retry of this one, and not another with the same id. */
    boolean isSameAs(Publish publish) {
        return baseRevision == publish.baseRevision() && setDigestSha256.equals(digestOf(publish));
    }

    private static String digestOf(Publish publish) {
        return Sha256.hexOf(publish.yaml());
    }
}
