package org.skylarkbend.agreement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** What members say to one another. */
public sealed interface AgreementMessage {
    /** The term of the sender; 0 where the message belongs to no term. */
    long term();

    /** Asks whether the receiver would vote for the sender in this term. */
    record PreVoteRequest(long term, long lastIndex, long lastTerm) implements AgreementMessage {}

    /** Answers {@link PreVoteRequest}; the term is that of the request. */
    record PreVoteResponse(long term, boolean granted) implements AgreementMessage {}

    /** Asks for a vote. */
    record VoteRequest(long term, long lastIndex, long lastTerm) implements AgreementMessage {}

    /** Answers {@link VoteRequest}. */
    record VoteResponse(long term, boolean granted) implements AgreementMessage {}

    /**
     * A leader's entries; without entries it is a heartbeat.
     *
     * @param round counts up with each heartbeat; the answer repeats it
     * @param previousIndex the entry before the first one sent
     * @param previousTerm the term of that entry
     * @param commitIndex up to where the leader knows the log to be committed
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
     * Answers {@link AppendRequest}.
     *
     * @param matches whether the receiver's log holds the previous entry
     * @param matchIndex if it matches, up to where the receiver's disk holds the leader's entries;
     *     otherwise an index at which the leader should try next
     */
    record AppendResponse(long term, long round, boolean matches, long matchIndex)
            implements AgreementMessage {
        /**
         * Answers a request of an older term. It repeats no round: its receiver may lead again by
         * now, and would take the round of its former term for one of this.
         */
        static AppendResponse rejectingStaleTerm(long term) {
            return new AppendResponse(term, 0, false, 0);
        }

        /** Whether it answers a request of its own term. */
        boolean isForOwnTerm() {
            return round > 0;
        }
    }

    /**
     * A piece of a snapshot.
     *
     * @param offsetBytes where the piece begins
     * @param last whether the data end with this piece
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
     * Answers {@link SnapshotChunk}.
     *
     * @param nextOffsetBytes where the next piece should begin
     */
    record SnapshotResponse(long term, long round, long index, int nextOffsetBytes)
            implements AgreementMessage {}

    /**
     * Says to all that this member exists, but counts in no quorum or hears no leader.
     *
     * @param blank whether it has never voted and holds no entry
     * @param heardFounder the newest member on the founding VM that has announced itself here
     */
    record Announcement(boolean uninitialized, Optional<MemberId> knownBootstrapMember)
            implements AgreementMessage {
        @Override
        public long term() {
            return 0;
        }
    }
}
