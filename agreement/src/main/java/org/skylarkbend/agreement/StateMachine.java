package org.skylarkbend.agreement;

/**
 * The replicated state machine. It must be deterministic: the same commands yield the same results
 * on every member.
 *
 * <p>All methods are called on the context of the {@link AgreementTask}. Other tasks receive the
 * state through messages. A message that {@code apply} sends to another context arrives there
 * before the result of the proposal.
 */
public interface StateMachine {
    /** Applies a committed command and returns the result for its proposer. */
    byte[] apply(long index, byte[] command);

    /** Returns the entire state. */
    byte[] snapshot();

    /** Replaces the entire state. */
    void restore(byte[] snapshot);
}
