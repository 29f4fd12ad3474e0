package org.skylarkbend.moves.rollout;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.skylarkbend.base.Result;
import org.skylarkbend.moves.MoveCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes rollouts for the log and outcomes for the wire. */
public final class RolloutCodec {
    /** The name of the slice in the log, and of the messages from gateways. */
    public static final String SLICE = "rollouts";

    private static final int ORDERED = 1;
    private static final int ADVANCED = 2;
    private static final int STATE = 3;
    private static final int OUTCOMES = 4;

    private RolloutCodec() {}

    /** Encodes a message for the log. */
    public static byte[] encode(RolloutMessage message) {
        if (message instanceof RolloutMessage.Ordered order) {
            return new MessageWriter(ORDERED)
                    .text(order.service())
                    .text(order.version())
                    .number(order.durationMilliseconds())
                    .toBytes();
        }
        RolloutMessage.Advanced advance = (RolloutMessage.Advanced) message;
        return new MessageWriter(ADVANCED)
                .text(advance.service())
                .text(advance.version())
                .text(advance.phase().name())
                .list(List.copyOf(advance.retiredVersions()), MessageWriter::text)
                .text(advance.reason())
                .toBytes();
    }

    /** Decodes a message of the log. */
    public static Result<RolloutMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, RolloutCodec::readMessage);
    }

    /** Encodes a state. */
    public static byte[] encodeState(RolloutState state) {
        return new MessageWriter(STATE)
                .list(List.copyOf(state.rollouts().values()), RolloutCodec::writeRollout)
                .toBytes();
    }

    /** Decodes a state. */
    public static Result<RolloutState> decodeState(byte[] payload) {
        return MessageReader.decode(
                payload, reader -> readTyped(reader, STATE, RolloutCodec::readState));
    }

    /** Encodes the report of a gateway. */
    public static byte[] encodeOutcomes(RolloutOutcomes outcomes) {
        return new MessageWriter(OUTCOMES)
                .text(outcomes.service())
                .text(outcomes.version())
                .number(outcomes.sentToOthers())
                .number(outcomes.sentToVersion())
                .list(outcomes.windows(), MoveCodec::writeWindow)
                .toBytes();
    }

    /** Decodes the report of a gateway. */
    public static Result<RolloutOutcomes> decodeOutcomes(byte[] payload) {
        return MessageReader.decode(
                payload, reader -> readTyped(reader, OUTCOMES, RolloutCodec::readOutcomes));
    }

    private static RolloutMessage readMessage(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case ORDERED ->
                    new RolloutMessage.Ordered(reader.text(), reader.text(), reader.number());
            case ADVANCED ->
                    new RolloutMessage.Advanced(
                            reader.text(),
                            reader.text(),
                            RolloutPhase.valueOf(reader.text()),
                            new TreeSet<>(reader.list(MessageReader::text)),
                            reader.text());
            default -> MessageReader.unknownType(type);
        };
    }

    private static void writeRollout(MessageWriter writer, Rollout rollout) {
        writer.text(rollout.service())
                .text(rollout.version())
                .number(rollout.orderedEpochMilliseconds())
                .number(rollout.durationMilliseconds())
                .text(rollout.phase().name())
                .number(rollout.changedEpochMilliseconds())
                .list(List.copyOf(rollout.retiredVersions()), MessageWriter::text)
                .text(rollout.reason());
    }

    private static RolloutState readState(MessageReader reader) {
        SortedMap<String, Rollout> rollouts = new TreeMap<>();
        reader.list(RolloutCodec::readRollout)
                .forEach(rollout -> rollouts.put(rollout.service(), rollout));
        return new RolloutState(rollouts);
    }

    private static Rollout readRollout(MessageReader reader) {
        return new Rollout(
                reader.text(),
                reader.text(),
                reader.number(),
                reader.number(),
                RolloutPhase.valueOf(reader.text()),
                reader.number(),
                new TreeSet<>(reader.list(MessageReader::text)),
                reader.text());
    }

    private static RolloutOutcomes readOutcomes(MessageReader reader) {
        return new RolloutOutcomes(
                reader.text(),
                reader.text(),
                reader.number(),
                reader.number(),
                reader.list(MoveCodec::readWindow));
    }

    private static <T> T readTyped(
            MessageReader reader, int expectedType, Function<MessageReader, T> read) {
        int type = reader.type();
        return type == expectedType ? read.apply(reader) : MessageReader.unknownType(type);
    }
}
