package org.skylarkbend.agreement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A state machine whose state is the list of applied commands. */
final class CommandListMachine implements StateMachine {
    private List<String> mCommands = new ArrayList<>();

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        mCommands.add(new String(command, StandardCharsets.UTF_8));
        return bytes(mCommands.size() + ":" + mCommands.get(mCommands.size() - 1));
    }

    @Override
    public synchronized byte[] snapshot() {
        return bytes(String.join("\n", mCommands));
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        String text = new String(snapshot, StandardCharsets.UTF_8);
        mCommands = new ArrayList<>(text.isEmpty() ? List.of() : List.of(text.split("\n")));
    }

    synchronized List<String> commands() {
        return List.copyOf(mCommands);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
