package org.skylarkbend.agreement;

import java.util.Arrays;

/** The content of a log entry. */
public sealed interface EntryContent {
    /** The first entry of a new leader, which lets it commit entries of earlier terms. */
    record NoOperation() implements EntryContent {}

    /** A new membership, in effect as soon as the entry is appended. */
    record MembershipChange(Membership membership) implements EntryContent {}

    /** A command for the state machine. */
    record Command(byte[] bytes) implements EntryContent {
        /** Copies the bytes. */
        public Command {
            bytes = bytes.clone();
        }

        @Override
        public byte[] bytes() {
            return bytes.clone();
        }

        /** Returns the size of the command. */
        public int lengthBytes() {
            return bytes.length;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Command command && Arrays.equals(command.bytes, bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }
    }
}
