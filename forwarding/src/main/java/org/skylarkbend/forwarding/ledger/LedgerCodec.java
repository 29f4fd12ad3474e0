package org.skylarkbend.forwarding.ledger;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.ReserveResponse;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleCall;
import org.skylarkbend.forwarding.ledger.LedgerMessage.SettleResponse;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link LedgerMessage} and {@link LedgerSnapshot}. */
public final class LedgerCodec implements MessageCodec<LedgerMessage> {
    private static final int RESERVE_CALL = 1;
    private static final int SETTLE_CALL = 2;
    private static final int RESERVE_RESPONSE = 3;
    private static final int SETTLE_RESPONSE = 4;
    private static final int SNAPSHOT = 5;
    private static final int NO_OUTCOME = 0;

    @Override
    public byte[] encode(LedgerMessage message) {
        if (message instanceof ReserveCall reserve) {
            return writeCall(new MessageWriter(RESERVE_CALL), reserve.call())
                    .text(reserve.reservationId())
                    .text(reserve.requestDigest())
                    .toBytes();
        }
        if (message instanceof SettleCall settle) {
            return writeCall(new MessageWriter(SETTLE_CALL), settle.call())
                    .text(settle.reservationId())
                    .number(codeOf(settle.outcome()))
                    .number(settle.httpStatus())
                    .toBytes();
        }
        if (message instanceof ReserveResponse response) {
            return new MessageWriter(RESERVE_RESPONSE)
                    .text(response.reservationId())
                    .text(response.verdict().name())
                    .number(response.httpStatus())
                    .toBytes();
        }
        SettleResponse response = (SettleResponse) message;
        return new MessageWriter(SETTLE_RESPONSE)
                .text(response.reservationId())
                .flag(response.known())
                .toBytes();
    }

    @Override
    public Result<LedgerMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, LedgerCodec::read);
    }

    /** Encodes a snapshot. */
    public byte[] encodeSnapshot(LedgerSnapshot snapshot) {
        return new MessageWriter(SNAPSHOT)
                .number(snapshot.nowEpochMilliseconds())
                .list(snapshot.records(), LedgerCodec::writeRecord)
                .toBytes();
    }

    /** Decodes a snapshot, or fails if the payload is not a valid snapshot. */
    public Result<LedgerSnapshot> decodeSnapshot(byte[] payload) {
        return MessageReader.decode(payload, LedgerCodec::readSnapshot);
    }

    private static LedgerMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case RESERVE_CALL -> new ReserveCall(readCall(reader), reader.text(), reader.text());
            case SETTLE_CALL ->
                    new SettleCall(
                            readCall(reader),
                            reader.text(),
                            outcomeOf((int) reader.number()),
                            (int) reader.number());
            case RESERVE_RESPONSE ->
                    new ReserveResponse(
                            reader.text(),
                            ReserveVerdict.valueOf(reader.text()),
                            (int) reader.number());
            case SETTLE_RESPONSE -> new SettleResponse(reader.text(), reader.flag());
            default -> MessageReader.unknownType(type);
        };
    }

    private static LedgerSnapshot readSnapshot(MessageReader reader) {
        int type = reader.type();
        if (type != SNAPSHOT) {
            return MessageReader.unknownType(type);
        }
        return new LedgerSnapshot(reader.number(), reader.list(LedgerCodec::readRecord));
    }

    private static void writeRecord(MessageWriter writer, CallRecord callRecord) {
        writeCall(writer, callRecord.call())
                .text(callRecord.reservationId())
                .text(callRecord.requestDigest())
                .number(callRecord.outcome().map(LedgerCodec::codeOf).orElse(NO_OUTCOME))
                .number(callRecord.httpStatus())
                .number(callRecord.changedEpochMilliseconds());
    }

    private static CallRecord readRecord(MessageReader reader) {
        CallIdentity call = readCall(reader);
        String reservationId = reader.text();
        String requestDigest = reader.text();
        int outcomeCode = (int) reader.number();
        Optional<CallOutcome> outcome =
                outcomeCode == NO_OUTCOME ? Optional.empty() : Optional.of(outcomeOf(outcomeCode));
        int httpStatus = (int) reader.number();
        return new CallRecord(
                call, reservationId, requestDigest, outcome, httpStatus, reader.number());
    }

    private static MessageWriter writeCall(MessageWriter writer, CallIdentity call) {
        return writer.text(call.customer().map(ObjectName::value).orElse(""))
                .text(call.route().value())
                .text(call.idempotencyKey());
    }

    private static CallIdentity readCall(MessageReader reader) {
        String customer = reader.text();
        return new CallIdentity(
                customer.isEmpty() ? Optional.empty() : Optional.of(ObjectName.of(customer)),
                ObjectName.of(reader.text()),
                reader.text());
    }

    private static int codeOf(CallOutcome outcome) {
        return switch (outcome) {
            case RAN -> 1;
            case NOT_RUN -> 2;
            case IN_DOUBT -> 3;
        };
    }

    private static CallOutcome outcomeOf(int code) {
        return switch (code) {
            case 1 -> CallOutcome.RAN;
            case 2 -> CallOutcome.NOT_RUN;
            case 3 -> CallOutcome.IN_DOUBT;
            default -> throw new IllegalArgumentException("unknown call outcome code: " + code);
        };
    }
}
