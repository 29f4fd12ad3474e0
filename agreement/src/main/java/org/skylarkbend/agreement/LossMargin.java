package org.skylarkbend.agreement;

import java.util.List;

/**
 * How many more losses a log bears, as its leader sees it.
 *
 * @param voters the number of voters
 * @param quorum the number of voters in a quorum
 * @param toleratedLosses the number of losses that the log is meant to tolerate
 * @param silent the voters that do not respond
 */
public record LossMargin(int voters, int quorum, int toleratedLosses, List<MemberId> silent) {
    /** Copies the list. */
    public LossMargin {
        silent = List.copyOf(silent);
    }

    /** Returns the number of voters that respond. */
    public int liveVoters() {
        return voters - silent.size();
    }

    /** Returns the number of voters that may still be lost while a quorum remains. */
    public int furtherLosses() {
        return liveVoters() - quorum;
    }

    /** Returns whether the log bears fewer losses than it is meant to. */
    public boolean isLow() {
        return furtherLosses() < toleratedLosses;
    }
}
