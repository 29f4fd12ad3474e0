package org.skylarkbend.quarantine;

/**
 * Quarantine of a combination of prompt parts, in force or lifted.
 *
 * @param inForce true if calls with these parts are refused
 * @param timesImposed number of times that it was imposed
 * @param changedEpochMilliseconds time of the last change by the leader's wall clock
 */
public record Quarantine(boolean inForce, int timesImposed, long changedEpochMilliseconds) {
    /** Duration of the first quarantine of a combination. */
    private static final long FIRST_MILLISECONDS = 300_000;

    private static final long MAX_MILLISECONDS = 3_600_000;
    private static final int MAX_DOUBLINGS = 20;

    /**
     * Returns the duration of this quarantine. It doubles each time it is imposed again, so that
     * parts that are wrongly suspected return soon, and parts that go on crashing engines cost few
     * of them.
     */
    public long durationMilliseconds() {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, timesImposed - 1));
        return Math.min(MAX_MILLISECONDS, FIRST_MILLISECONDS << doublings);
    }
}
