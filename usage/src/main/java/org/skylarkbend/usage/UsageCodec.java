package org.skylarkbend.usage;

import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.usage.UsageMessage.Acknowledged;
import org.skylarkbend.usage.UsageMessage.GrantsUsedUp;
import org.skylarkbend.usage.UsageMessage.ReadUsage;
import org.skylarkbend.usage.UsageMessage.Report;
import org.skylarkbend.usage.UsageSnapshot.DayTokens;
import org.skylarkbend.usage.UsageSnapshot.MonthTokens;
import org.skylarkbend.usage.UsageSnapshot.RouterProgress;
import org.skylarkbend.usage.UsageSnapshot.UsageGap;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link UsageMessage} and {@link UsageSnapshot}. */
public final class UsageCodec implements MessageCodec<UsageMessage> {
    private static final int REPORT = 1;
    private static final int ACKNOWLEDGED = 2;
    private static final int GRANTS_USED_UP = 3;
    private static final int SNAPSHOT = 4;
    private static final int READ_USAGE = 5;

    @Override
    public byte[] encode(UsageMessage message) {
        if (message instanceof Report report) {
            return new MessageWriter(REPORT)
                    .text(report.router().value())
                    .number(report.incarnation())
                    .number(report.sequence())
                    .flag(report.isLast())
                    .list(report.lines(), UsageCodec::writeLine)
                    .toBytes();
        }
        if (message instanceof Acknowledged acknowledged) {
            return new MessageWriter(ACKNOWLEDGED)
                    .number(acknowledged.incarnation())
                    .number(acknowledged.sequence())
                    .toBytes();
        }
        if (message instanceof GrantsUsedUp grants) {
            return new MessageWriter(GRANTS_USED_UP)
                    .number(grants.month())
                    .list(grants.customers(), (writer, name) -> writer.text(name.value()))
                    .toBytes();
        }
        return new MessageWriter(READ_USAGE).toBytes();
    }

    @Override
    public Result<UsageMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, UsageCodec::read);
    }

    /** Encodes a snapshot. */
    public byte[] encodeSnapshot(UsageSnapshot snapshot) {
        return new MessageWriter(SNAPSHOT)
                .list(snapshot.months(), UsageCodec::writeMonth)
                .list(snapshot.days(), UsageCodec::writeDay)
                .list(snapshot.routers(), UsageCodec::writeRouter)
                .list(snapshot.gaps(), UsageCodec::writeGap)
                .toBytes();
    }

    /** Decodes a snapshot, or fails if the payload is not a valid snapshot. */
    public Result<UsageSnapshot> decodeSnapshot(byte[] payload) {
        return MessageReader.decode(payload, UsageCodec::readSnapshot);
    }

    private static UsageMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case REPORT ->
                    new Report(
                            ObjectName.of(reader.text()),
                            reader.number(),
                            reader.number(),
                            reader.flag(),
                            reader.list(UsageCodec::readLine));
            case ACKNOWLEDGED -> new Acknowledged(reader.number(), reader.number());
            case GRANTS_USED_UP ->
                    new GrantsUsedUp(
                            reader.number(), reader.list(item -> ObjectName.of(item.text())));
            case READ_USAGE -> new ReadUsage();
            default -> MessageReader.unknownType(type);
        };
    }

    private static UsageSnapshot readSnapshot(MessageReader reader) {
        int type = reader.type();
        if (type != SNAPSHOT) {
            return MessageReader.unknownType(type);
        }
        return new UsageSnapshot(
                reader.list(UsageCodec::readMonth),
                reader.list(UsageCodec::readDay),
                reader.list(UsageCodec::readRouter),
                reader.list(UsageCodec::readGap));
    }

    private static void writeLine(MessageWriter writer, UsageLine line) {
        writeSubject(writer, line.subject()).number(line.epochDay());
        writeTokens(writer, line.tokens());
    }

    private static UsageLine readLine(MessageReader reader) {
        return new UsageLine(readSubject(reader), reader.number(), readTokens(reader));
    }

    private static void writeMonth(MessageWriter writer, MonthTokens month) {
        writeSubject(writer.number(month.month()), month.subject());
        writeTokens(writer, month.tokens());
    }

    private static MonthTokens readMonth(MessageReader reader) {
        return new MonthTokens(reader.number(), readSubject(reader), readTokens(reader));
    }

    private static void writeDay(MessageWriter writer, DayTokens day) {
        writer.number(day.epochDay()).text(day.customer().value());
        writeTokens(writer, day.tokens());
    }

    private static DayTokens readDay(MessageReader reader) {
        return new DayTokens(reader.number(), ObjectName.of(reader.text()), readTokens(reader));
    }

    private static void writeRouter(MessageWriter writer, RouterProgress router) {
        writer.text(router.router().value())
                .number(router.incarnation())
                .number(router.sequence())
                .flag(router.ended())
                .number(router.epochDay());
    }

    private static RouterProgress readRouter(MessageReader reader) {
        return new RouterProgress(
                ObjectName.of(reader.text()),
                reader.number(),
                reader.number(),
                reader.flag(),
                reader.number());
    }

    private static void writeGap(MessageWriter writer, UsageGap gap) {
        writer.text(gap.router().value()).number(gap.incarnation()).number(gap.epochDay());
    }

    private static UsageGap readGap(MessageReader reader) {
        return new UsageGap(ObjectName.of(reader.text()), reader.number(), reader.number());
    }

    private static MessageWriter writeSubject(MessageWriter writer, UsageSubject subject) {
        return writer.text(subject.customer().value())
                .text(subject.key().value())
                .text(subject.route().value());
    }

    private static UsageSubject readSubject(MessageReader reader) {
        return new UsageSubject(
                ObjectName.of(reader.text()),
                ObjectName.of(reader.text()),
                ObjectName.of(reader.text()));
    }

    private static void writeTokens(MessageWriter writer, UsageTokens tokens) {
        writer.number(tokens.promptTokens())
                .number(tokens.cachedTokens())
                .number(tokens.answerTokens());
    }

    private static UsageTokens readTokens(MessageReader reader) {
        return new UsageTokens(reader.number(), reader.number(), reader.number());
    }
}
