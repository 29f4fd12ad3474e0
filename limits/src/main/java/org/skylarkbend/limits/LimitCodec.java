package org.skylarkbend.limits;

import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.limits.LimitMessage.GrantEntry;
import org.skylarkbend.limits.LimitMessage.Grants;
import org.skylarkbend.limits.LimitMessage.Report;
import org.skylarkbend.limits.LimitMessage.ReportEntry;
import org.skylarkbend.limits.LimitMessage.TermBegan;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes {@link LimitMessage} for the wire. */
public final class LimitCodec implements MessageCodec<LimitMessage> {
    /** The name of the rate limits in the messages that carry their state. */
    public static final String SLICE = "limits";

    private static final int TERM_BEGAN = 1;
    private static final int REPORT = 2;
    private static final int GRANTS = 3;

    @Override
    public byte[] encode(LimitMessage message) {
        if (message instanceof TermBegan began) {
            return new MessageWriter(TERM_BEGAN).number(began.term()).toBytes();
        }
        if (message instanceof Report report) {
            return new MessageWriter(REPORT)
                    .number(report.term())
                    .number(report.sequence())
                    .flag(report.complete())
                    .list(report.entries(), LimitCodec::writeReportEntry)
                    .toBytes();
        }
        Grants grants = (Grants) message;
        return new MessageWriter(GRANTS)
                .number(grants.term())
                .number(grants.reportSequence())
                .list(grants.entries(), LimitCodec::writeGrantEntry)
                .toBytes();
    }

    @Override
    public Result<LimitMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, LimitCodec::read);
    }

    private static LimitMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case TERM_BEGAN -> new TermBegan(reader.number());
            case REPORT ->
                    new Report(
                            reader.number(),
                            reader.number(),
                            reader.flag(),
                            reader.list(LimitCodec::readReportEntry));
            case GRANTS ->
                    new Grants(
                            reader.number(),
                            reader.number(),
                            reader.list(LimitCodec::readGrantEntry));
            default -> MessageReader.unknownType(type);
        };
    }

    private static void writeReportEntry(MessageWriter writer, ReportEntry entry) {
        writer.text(entry.customer().value())
                .number(entry.baseTokens())
                .number(entry.usedTokens())
                .number(entry.returnedTokens())
                .number(entry.grantedTokens())
                .number(entry.firstWaitingTokens())
                .number(entry.pendingTokens())
                .number(entry.prefetchTokens())
                .flag(entry.asksForTotal());
    }

    private static ReportEntry readReportEntry(MessageReader reader) {
        return new ReportEntry(
                ObjectName.of(reader.text()),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.flag());
    }

    private static void writeGrantEntry(MessageWriter writer, GrantEntry entry) {
        writer.text(entry.customer().value()).number(entry.grantedTokens()).flag(entry.recalled());
    }

    private static GrantEntry readGrantEntry(MessageReader reader) {
        return new GrantEntry(ObjectName.of(reader.text()), reader.number(), reader.flag());
    }
}
