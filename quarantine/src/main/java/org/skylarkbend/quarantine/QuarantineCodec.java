package org.skylarkbend.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes quarantines for the log, and evidence and notices for the wire. */
public final class QuarantineCodec {
    /** The name of the slice in the log, and of the messages between gateways and control. */
    public static final String SLICE = "quarantine";

    private static final int IMPOSED = 1;
    private static final int LIFTED = 2;
    private static final int STATE = 3;
    private static final int EVIDENCE = 4;
    private static final int NOTICE = 5;

    private QuarantineCodec() {}

    /** Encodes a message for the log. */
    public static byte[] encode(QuarantineMessage message) {
        int type = message instanceof QuarantineMessage.Imposed ? IMPOSED : LIFTED;
        return writeCombination(new MessageWriter(type), message.combination()).toBytes();
    }

    /** Decodes a message of the log. */
    public static Result<QuarantineMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, QuarantineCodec::readMessage);
    }

    /** Encodes a state. */
    public static byte[] encodeState(QuarantineState state) {
        return new MessageWriter(STATE)
                .list(
                        List.copyOf(state.combinations().entrySet()),
                        (writer, entry) ->
                                writeCombination(writer, entry.getKey())
                                        .flag(entry.getValue().inForce())
                                        .number(entry.getValue().timesImposed())
                                        .number(entry.getValue().changedEpochMilliseconds()))
                .toBytes();
    }

    /** Decodes a state. */
    public static Result<QuarantineState> decodeState(byte[] payload) {
        return decodeTyped(payload, STATE, QuarantineCodec::readState);
    }

    /** Encodes the report of a gateway. */
    public static byte[] encodeEvidence(CrashEvidence evidence) {
        MessageWriter writer = new MessageWriter(EVIDENCE);
        writer.list(evidence.crashes(), QuarantineCodec::writeCrash);
        writeTimes(writer, evidence.servedMilliseconds(), QuarantineCodec::writePart);
        writeTimes(writer, evidence.answeredCalls(), MessageWriter::text);
        return writer.toBytes();
    }

    /** Decodes the report of a gateway. */
    public static Result<CrashEvidence> decodeEvidence(byte[] payload) {
        return decodeTyped(payload, EVIDENCE, QuarantineCodec::readEvidence);
    }

    /** Encodes the message of control to the gateways. */
    public static byte[] encodeNotice(QuarantineNotice notice) {
        MessageWriter writer = new MessageWriter(NOTICE);
        writer.list(List.copyOf(notice.watched()), QuarantineCodec::writePart);
        writeTimes(writer, notice.remainingMilliseconds(), QuarantineCodec::writeCombination);
        return writer.toBytes();
    }

    /** Decodes the message of control to the gateways. */
    public static Result<QuarantineNotice> decodeNotice(byte[] payload) {
        return decodeTyped(
                payload,
                NOTICE,
                reader ->
                        new QuarantineNotice(
                                Set.copyOf(reader.list(QuarantineCodec::readPart)),
                                readTimes(reader, QuarantineCodec::readCombination)));
    }

    private static QuarantineMessage readMessage(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case IMPOSED -> new QuarantineMessage.Imposed(readCombination(reader));
            case LIFTED -> new QuarantineMessage.Lifted(readCombination(reader));
            default -> MessageReader.unknownType(type);
        };
    }

    private static QuarantineState readState(MessageReader reader) {
        SortedMap<PartCombination, Quarantine> combinations = new TreeMap<>();
        reader.list(
                item ->
                        combinations.put(
                                        readCombination(item),
                                        new Quarantine(
                                                item.flag(), (int) item.number(), item.number()))
                                == null);
        return new QuarantineState(combinations);
    }

    private static CrashEvidence readEvidence(MessageReader reader) {
        List<EndpointCrash> crashes = reader.list(QuarantineCodec::readCrash);
        Map<PromptPart, Long> served = readTimes(reader, QuarantineCodec::readPart);
        Map<String, Long> answered = readTimes(reader, MessageReader::text);
        return new CrashEvidence(crashes, served, answered);
    }

    private static void writeCrash(MessageWriter writer, EndpointCrash crash) {
        writer.text(crash.incarnation())
                .number(crash.ageMilliseconds())
                .list(
                        crash.calls(),
                        (item, call) ->
                                item.text(call.id())
                                        .list(call.parts(), QuarantineCodec::writePart));
    }

    private static EndpointCrash readCrash(MessageReader reader) {
        return new EndpointCrash(
                reader.text(),
                reader.number(),
                reader.list(
                        item ->
                                new SuspectCall(
                                        item.text(), item.list(QuarantineCodec::readPart))));
    }

    private static <K> void writeTimes(
            MessageWriter writer, Map<K, Long> times, BiConsumer<MessageWriter, K> writeKey) {
        writer.list(
                List.copyOf(times.entrySet()),
                (item, entry) -> {
                    writeKey.accept(item, entry.getKey());
                    item.number(entry.getValue());
                });
    }

    private static <K> Map<K, Long> readTimes(
            MessageReader reader, Function<MessageReader, K> readKey) {
        Map<K, Long> times = new HashMap<>();
        reader.list(item -> times.put(readKey.apply(item), item.number()) == null);
        return times;
    }

    private static MessageWriter writeCombination(
            MessageWriter writer, PartCombination combination) {
        return writer.list(List.copyOf(combination.parts()), QuarantineCodec::writePart);
    }

    private static PartCombination readCombination(MessageReader reader) {
        return PartCombination.of(reader.list(QuarantineCodec::readPart));
    }

    private static MessageWriter writePart(MessageWriter writer, PromptPart part) {
        return writer.text(part.model()).text(part.id());
    }

    private static PromptPart readPart(MessageReader reader) {
        return new PromptPart(reader.text(), reader.text());
    }

    private static <T> Result<T> decodeTyped(
            byte[] payload, int expectedType, Function<MessageReader, T> read) {
        return MessageReader.decode(
                payload,
                reader -> {
                    int type = reader.type();
                    return type == expectedType
                            ? read.apply(reader)
                            : MessageReader.unknownType(type);
                });
    }
}
