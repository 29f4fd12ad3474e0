package org.skylarkbend.control.quarantine;

import java.util.Optional;
import java.util.function.Consumer;
import org.skylarkbend.base.StructuredLog;
import org.skylarkbend.quarantine.Undecided;

/** Logs what is suspected without being quarantined, when it changes. Confined to one task. */
final class UndecidedLog {
    private static final StructuredLog LOG = StructuredLog.of(UndecidedLog.class);

    /** Least time between two lines. */
    private static final long INTERVAL_MILLISECONDS = 1_000;

    private static final int MAX_LOGGED_CALLS = 16;

    private final Consumer<Undecided> mLines;
    private Optional<Undecided> mLogged = Optional.empty();
    private long mLoggedMilliseconds = Long.MIN_VALUE / 2;

    /**
     * Creates a log.
     *
     * @param lines writes a line
     */
    UndecidedLog(Consumer<Undecided> lines) {
        mLines = lines;
    }

    /** Writes the line of a suspect. */
    static void write(Undecided undecided) {
        LOG.info(
                "quarantine.undecided",
                "parts",
                undecided.parts().ids(),
                "model",
                undecided.parts().parts().first().model(),
                "calls",
                String.join(
                        ",", undecided.calls().stream().sorted().limit(MAX_LOGGED_CALLS).toList()),
                "crashes",
                undecided.crashes(),
                "answers",
                undecided.answers(),
                "reason",
                undecided.reason());
    }

    /** Handles a decision: what it left undecided, if anything. */
    void decided(Optional<Undecided> undecided, long nowMilliseconds) {
        boolean isNew =
                undecided.isPresent()
                        && mLogged.filter(logged -> isSame(logged, undecided.get())).isEmpty();
        if (isNew && nowMilliseconds - mLoggedMilliseconds >= INTERVAL_MILLISECONDS) {
            mLines.accept(undecided.get());
            mLogged = undecided;
            mLoggedMilliseconds = nowMilliseconds;
        }
    }

    /** Returns whether two decisions differ in the number of answers only. */
    private static boolean isSame(Undecided one, Undecided other) {
        return one.parts().equals(other.parts())
                && one.calls().equals(other.calls())
                && one.reason() == other.reason();
    }
}
