package org.skylarkbend.replay.report;

/** Inclusive bounds of a measure; a missing bound is infinite. */
public record ExpectedOutcome(Measure measure, double atLeast, double atMost) {
    /** Returns whether the value in the report is within the bounds. NaN is not. */
    public boolean isMet(ReplayReport report) {
        double value = measure.of(report);
        return value >= atLeast && value <= atMost;
    }
}
