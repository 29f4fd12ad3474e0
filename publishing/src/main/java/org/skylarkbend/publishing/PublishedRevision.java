package org.skylarkbend.publishing;

/**
 * A published set with the revision number that control assigned to it.
 *
 * @param revision the number of the revision, increased by one for each accepted set; 0 is the
 *     empty set
 * @param set the parsed set
 * @param yaml the published text, from which every process parses the set
 */
public record PublishedRevision(long revision, PublishedSet set, String yaml) {
    /** Returns revision 0 with the empty set, the state before the first publish. */
    public static PublishedRevision none() {
        return new PublishedRevision(0, PublishedSet.empty(), "");
    }
}
