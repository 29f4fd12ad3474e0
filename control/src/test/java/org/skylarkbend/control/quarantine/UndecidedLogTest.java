package org.skylarkbend.control.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.skylarkbend.quarantine.PartCombination;
import org.skylarkbend.quarantine.PromptPart;
import org.skylarkbend.quarantine.Undecided;
import org.skylarkbend.quarantine.Undecided.Reason;
import org.testng.annotations.Test;

/** Tests which decisions without a verdict are logged. */
public class UndecidedLogTest {
    private final List<Undecided> mLines = new ArrayList<>();
    private final UndecidedLog mLog = new UndecidedLog(mLines::add);

    /** Guards against suspicions of which the log tells nothing, or too much. */
    @Test
    public void aSuspectIsLoggedOnceUntilItChangesAndAtMostOnceASecond() {
        mLog.decided(Optional.empty(), 0);
        mLog.decided(undecided(1, Reason.ONE_CRASH), 100);
        mLog.decided(undecided(2, Reason.ONE_CRASH), 2_000);
        assertThat(mLines).as("only the number of answers changed").hasSize(1);
        mLog.decided(undecided(3, Reason.FEW_ANSWERS), 2_100);
        mLog.decided(undecided(4, Reason.ANSWERED_BEFORE), 2_200);
        assertThat(mLines).as("within a second").hasSize(2);
        mLog.decided(undecided(5, Reason.ANSWERED_BEFORE), 3_100);
        assertThat(mLines).hasSize(3);
    }

    private static Optional<Undecided> undecided(long answers, Reason reason) {
        PartCombination parts = PartCombination.of(List.of(new PromptPart("m", "p")));
        return Optional.of(new Undecided(parts, Set.of("c"), 1, answers, reason));
    }
}
