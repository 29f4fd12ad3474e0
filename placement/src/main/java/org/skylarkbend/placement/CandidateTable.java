package org.skylarkbend.placement;

import org.skylarkbend.base.ObjectName;

/**
 * The endpoints that can serve one request, with the known state of each. Candidates are numbered
 * from 0.
 */
public interface CandidateTable {
    /** Returns the number of candidates. */
    int count();

    /** Returns the name of a candidate. */
    ObjectName endpoint(int candidate);

    /**
     * Returns a uniformly distributed hash of the name of a candidate, the same on every router.
     */
    long endpointHash(int candidate);

    /** Returns the number of leading blocks of the prompt that the candidate has in its cache. */
    int cachedBlocks(int candidate);

    /** Returns the prompt tokens that the candidate processes before those of this request. */
    double backlogTokens(int candidate);

    /** Returns the number of requests that are running or queued at the candidate. */
    int openRequests(int candidate);
}
