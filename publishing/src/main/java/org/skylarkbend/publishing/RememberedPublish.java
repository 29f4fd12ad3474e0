package org.skylarkbend.publishing;

import org.skylarkbend.base.Sha256;
import org.skylarkbend.publishing.PublishingMessage.Publish;

/**
 * A publish and its result, kept so that a retry gets the same result.
 *
 * @param publishId the ID that the operator chose
 * @param baseRevision the revision on which its set is based
 * @param setDigestSha256 the SHA-256 digest of its YAML text
 * @param result the original result
 */
public record RememberedPublish(
        PublishId publishId, long baseRevision, String setDigestSha256, PublishResult result) {
    static RememberedPublish of(Publish publish, PublishResult result) {
        return new RememberedPublish(
                publish.publishId(), publish.baseRevision(), digestOf(publish), result);
    }

    /** Returns whether the publish is a retry of this one, and not another with the same ID. */
    boolean isSameAs(Publish publish) {
        return baseRevision == publish.baseRevision() && setDigestSha256.equals(digestOf(publish));
    }

    private static String digestOf(Publish publish) {
        return Sha256.hexOf(publish.yaml());
    }
}
