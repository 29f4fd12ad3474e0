package org.skylarkbend.agreement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** A message between members of the replicated log. */
public sealed interface AgreementMessage {
    /** Returns the term of the message, or 0 if it belongs to no term. */
    long term();

    /** Asks if the receiver would vote for the sender in this term. */
    record PreVoteRequest(long term, long lastIndex, long lastTerm) implements AgreementMessage {}

    /**
     * The response to {@link PreVoteRequest}.
     *
     * @param term the term of the request if granted, otherwise the term of the responder
     */
    record PreVoteResponse(long term, boolean granted) implements AgreementMessage {}

    /** Requests a vote in this term. */
    record VoteRequest(long term, long lastIndex, long lastTerm) implements AgreementMessage {}

    /**
     * The response to {@link VoteRequest}.
     *
     * @param term the term of the voter
     * @param granted true if the candidate gets the vote
     * @param leaderlessMilliseconds the time for which the voter has heard from no leader
     */
    record VoteResponse(long term, boolean granted, long leaderlessMilliseconds)
            implements AgreementMessage {}

    /**
     * Replicates entries of the leader; without entries it is a heartbeat.
     *
     * @param round the heartbeat round, which the response echoes
     * @param previousIndex the index of the entry before the first one sent
     * @param previousTerm the term of that entry
     * @param commitIndex the commit index of the leader
     */
    record AppendRequest(
            long term,
            long round,
            long previousIndex,
            long previousTerm,
            long commitIndex,
            List<LogEntry> entries)
            implements AgreementMessage {
        /** Copies the entries. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The response to {@link AppendRequest}.
     *
     * @param matches true if the receiver's log contains the previous entry
     * @param matchIndex if it matches, the last index up to which the receiver has the leader's
     *     entries on disk; otherwise the index at which the leader should retry
     */
    record AppendResponse(long term, long round, boolean matches, long matchIndex)
            implements AgreementMessage {
        /**
         * Rejects a request of an older term. The round is not echoed: the sender may have become
         * leader again and would mistake a round of its earlier term for one of the new term.
         */
        static AppendResponse rejectingStaleTerm(long term) {
            return new AppendResponse(term, 0, false, 0);
        }

        /** Returns whether this responds to a request of the same term. */
        boolean isForOwnTerm() {
            return round > 0;
        }
    }

    /**
     * A chunk of a snapshot.
     *
     * @param index the index of the last entry covered by the snapshot
     * @param indexTerm the term of that entry
     * @param offsetBytes the offset of this chunk in the snapshot data
     * @param last true if this is the final chunk
     */
    record SnapshotChunk(
            long term,
            long round,
            long index,
            long indexTerm,
            Membership membership,
            int offsetBytes,
            byte[] data,
            boolean last)
            implements AgreementMessage {
        /** Copies the data. */
        public SnapshotChunk {
            data = data.clone();
        }

        @Override
        public byte[] data() {
            return data.clone();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotChunk chunk
                    && chunk.term == term
                    && chunk.round == round
                    && chunk.index == index
                    && chunk.indexTerm == indexTerm
                    && chunk.membership.equals(membership)
                    && chunk.offsetBytes == offsetBytes
                    && chunk.last == last
                    && Arrays.equals(chunk.data, data);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(index) * 31 + offsetBytes;
        }
    }

    /**
     * The response to {@link SnapshotChunk}.
     *
     * @param nextOffsetBytes the offset at which the next chunk should begin
     */
    record SnapshotResponse(long term, long round, long index, int nextOffsetBytes)
            implements AgreementMessage {}

    /**
     * Asks a follower if its disk can write, because the leader's cannot.
     *
     * @param failure the number of the failure of the leader's disk, which the response echoes
     * @param sizeBytes the size of what the leader could not write
     */
    record DiskCheckRequest(long term, long failure, long sizeBytes) implements AgreementMessage {}

    /** The response to {@link DiskCheckRequest}, sent only by a member whose disk can write. */
    record DiskCheckResponse(long term, long failure) implements AgreementMessage {}

    /** Tells the leader that a voter is about to end. */
    record LeaveRequest() implements AgreementMessage {
        @Override
        public long term() {
            return 0;
        }
    }

    /**
     * The response to {@link LeaveRequest}.
     *
     * @param removed true if a committed change has removed the member; false if it is needed
     */
    record LeaveResponse(boolean removed) implements AgreementMessage {
        @Override
        public long term() {
            return 0;
        }
    }

    /**
     * Announces a member that is not a voter or knows no leader.
     *
     * @param uninitialized true if the log of the member is empty
     * @param ofFirstStart true if its disk was empty at the first start of the system
     * @param knownBootstrapMember the member on the bootstrap VM from which the sender last
     *     received an announcement
     */
    record Announcement(
            boolean uninitialized, boolean ofFirstStart, Optional<MemberId> knownBootstrapMember)
            implements AgreementMessage {
        @Override
        public long term() {
            return 0;
        }
    }
}
