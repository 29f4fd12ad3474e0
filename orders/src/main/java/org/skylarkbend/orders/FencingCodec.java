package org.skylarkbend.orders;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.orders.FencingMessage.FencingRecorded;
import org.skylarkbend.orders.FencingMessage.TakeCommand;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes {@link FencingMessage} for the log and {@link FencingState} for snapshots. */
public final class FencingCodec implements MessageCodec<FencingMessage> {
    private static final int TAKE_COMMAND = 1;
    private static final int FENCING_LEARNT = 2;
    private static final int FENCING_STATE = 3;

    @Override
    public byte[] encode(FencingMessage message) {
        if (message instanceof TakeCommand take) {
            return new MessageWriter(TAKE_COMMAND)
                    .text(take.commander().value())
                    .number(take.aboveFencingNumber())
                    .toBytes();
        }
        FencingRecorded recorded = (FencingRecorded) message;
        return new MessageWriter(FENCING_LEARNT)
                .text(recorded.endpoint().value())
                .text(recorded.fencing().name())
                .toBytes();
    }

    @Override
    public Result<FencingMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, FencingCodec::read);
    }

    /** Encodes a state. */
    public byte[] encodeState(FencingState state) {
        return new MessageWriter(FENCING_STATE)
                .number(state.fencingNumber())
                .text(state.commander())
                .list(List.copyOf(state.endpoints().entrySet()), FencingCodec::writeEndpoint)
                .toBytes();
    }

    /** Decodes a state. */
    public Result<FencingState> decodeState(byte[] payload) {
        return MessageReader.decode(payload, FencingCodec::readState);
    }

    private static FencingMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case TAKE_COMMAND -> new TakeCommand(ObjectName.of(reader.text()), reader.number());
            case FENCING_LEARNT ->
                    new FencingRecorded(
                            ObjectName.of(reader.text()), Fencing.valueOf(reader.text()));
            default -> MessageReader.unknownType(type);
        };
    }

    private static void writeEndpoint(
            MessageWriter writer, Map.Entry<ObjectName, Fencing> endpoint) {
        writer.text(endpoint.getKey().value()).text(endpoint.getValue().name());
    }

    private static FencingState readState(MessageReader reader) {
        int type = reader.type();
        if (type != FENCING_STATE) {
            return MessageReader.unknownType(type);
        }
        long fencingNumber = reader.number();
        String commander = reader.text();
        SortedMap<ObjectName, Fencing> endpoints = new TreeMap<>();
        reader.list(
                        endpoint ->
                                Map.entry(
                                        ObjectName.of(endpoint.text()),
                                        Fencing.valueOf(endpoint.text())))
                .forEach(endpoint -> endpoints.put(endpoint.getKey(), endpoint.getValue()));
        return new FencingState(fencingNumber, commander, endpoints);
    }
}
