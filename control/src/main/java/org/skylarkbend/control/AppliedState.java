package org.skylarkbend.control;

import org.skylarkbend.agreement.StateMachine;
import org.skylarkbend.control.log.ControlStateMachine;

/**
 * Adapts {@link ControlStateMachine} to the state machine interface of the replicated log.
 *
 * @param state the composed state of all slices
 */
public record AppliedState(ControlStateMachine state) implements StateMachine {
    @Override
    public byte[] apply(long index, byte[] command) {
        return state.apply(command);
    }

    @Override
    public byte[] snapshot() {
        return state.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        state.restore(snapshot);
    }
}
