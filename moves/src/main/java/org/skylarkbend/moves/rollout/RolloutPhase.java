package org.skylarkbend.moves.rollout;

/** Phase of a rollout. */
public enum RolloutPhase {
    /** The new version gets a small share of the calls. */
    TRIAL(false),
    /** The trial has shown nothing bad, and the new version gets growing shares of the calls. */
    SHIFTING(false),
    /** The new version gets all calls, and endpoints of other versions may stop. */
    COMPLETED(true),
    /** The new version gets no calls any more. */
    ROLLED_BACK(true);

    private final boolean mFinal;

    RolloutPhase(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether the rollout has ended. */
    public boolean isFinal() {
        return mFinal;
    }
}
