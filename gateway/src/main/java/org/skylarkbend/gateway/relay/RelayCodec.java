package org.skylarkbend.gateway.relay;

import org.skylarkbend.base.Result;
import org.skylarkbend.gateway.relay.RelayMessage.NotOpened;
import org.skylarkbend.gateway.relay.RelayMessage.Open;
import org.skylarkbend.gateway.relay.RelayMessage.Opened;
import org.skylarkbend.gateway.relay.RelayMessage.Reason;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link RelayMessage}. */
public final class RelayCodec implements MessageCodec<RelayMessage> {
    /** Largest payload of a message. */
    static final int MAX_PAYLOAD_BYTES = 1_024;

    private static final int OPEN = 1;
    private static final int OPENED = 2;
    private static final int NOT_OPENED = 3;
    private static final int MAX_PORT = 65_535;

    @Override
    public byte[] encode(RelayMessage message) {
        if (message instanceof Open open) {
            return new MessageWriter(OPEN).text(open.host()).number(open.port()).toBytes();
        }
        if (message instanceof NotOpened notOpened) {
            return new MessageWriter(NOT_OPENED).number(notOpened.reason().ordinal()).toBytes();
        }
        return new MessageWriter(OPENED).toBytes();
    }

    @Override
    public Result<RelayMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, RelayCodec::read);
    }

    private static RelayMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case OPEN -> new Open(reader.text(), (int) inRange(reader.number(), MAX_PORT + 1));
            case OPENED -> new Opened();
            case NOT_OPENED -> {
                Reason[] reasons = Reason.values();
                yield new NotOpened(reasons[(int) inRange(reader.number(), reasons.length)]);
            }
            default -> MessageReader.unknownType(type);
        };
    }

    private static long inRange(long number, long bound) {
        if (number < 0 || number >= bound) {
            throw new IllegalArgumentException(number + " is not below " + bound);
        }
        return number;
    }
}
