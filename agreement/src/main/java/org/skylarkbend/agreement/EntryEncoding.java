package org.skylarkbend.agreement;

import java.util.Optional;
import org.skylarkbend.agreement.EntryContent.Command;
import org.skylarkbend.agreement.EntryContent.MembershipChange;
import org.skylarkbend.agreement.EntryContent.NoOperation;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** The binary encoding of entries, memberships and members in messages and files. */
final class EntryEncoding {
    private static final int NO_OPERATION = 1;
    private static final int MEMBERSHIP_CHANGE = 2;
    private static final int COMMAND = 3;

    private EntryEncoding() {}

    static void write(MessageWriter writer, LogEntry entry) {
        writer.number(entry.index()).number(entry.term());
        if (entry.content() instanceof Command command) {
            writer.number(COMMAND).bytes(command.bytes());
        } else if (entry.content() instanceof MembershipChange change) {
            writer.number(MEMBERSHIP_CHANGE);
            write(writer, change.membership());
        } else {
            writer.number(NO_OPERATION);
        }
    }

    static LogEntry readEntry(MessageReader reader) {
        long index = reader.number();
        long term = reader.number();
        return new LogEntry(index, term, readContent(reader));
    }

    static void write(MessageWriter writer, Membership membership) {
        writer.list(membership.voters(), EntryEncoding::write);
    }

    static Membership readMembership(MessageReader reader) {
        return new Membership(reader.list(EntryEncoding::readMember));
    }

    static void write(MessageWriter writer, MemberId member) {
        writer.text(member.vm().value()).number(member.number());
    }

    static MemberId readMember(MessageReader reader) {
        return new MemberId(ObjectName.of(reader.text()), reader.number());
    }

    static void write(MessageWriter writer, Optional<MemberId> member) {
        writer.flag(member.isPresent());
        member.ifPresent(present -> write(writer, present));
    }

    static Optional<MemberId> readOptionalMember(MessageReader reader) {
        return reader.flag() ? Optional.of(readMember(reader)) : Optional.empty();
    }

    private static EntryContent readContent(MessageReader reader) {
        int kind = reader.type();
        return switch (kind) {
            case NO_OPERATION -> new NoOperation();
            case MEMBERSHIP_CHANGE -> new MembershipChange(readMembership(reader));
            case COMMAND -> new Command(reader.bytes());
            default -> MessageReader.unknownType(kind);
        };
    }
}
