package org.skylarkbend.publishing;

import org.skylarkbend.base.ErrorKind;
import org.skylarkbend.base.Result;
import org.skylarkbend.base.SkylarkError;
import org.skylarkbend.publishing.PublishResult.Accepted;
import org.skylarkbend.publishing.PublishResult.Conflict;
import org.skylarkbend.publishing.PublishResult.Refused;
import org.skylarkbend.publishing.PublishingMessage.Publish;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes publishes, their results and the publishing state for the log and its snapshots. */
public final class PublishingCodec implements MessageCodec<PublishingMessage> {
    private static final int PUBLISH = 1;
    private static final int ACCEPTED = 2;
    private static final int CONFLICT = 3;
    private static final int REFUSED = 4;
    private static final int STATE = 5;

    @Override
    public byte[] encode(PublishingMessage message) {
        Publish publish = (Publish) message;
        return new MessageWriter(PUBLISH)
                .text(publish.publishId().value())
                .number(publish.baseRevision())
                .text(publish.yaml())
                .toBytes();
    }

    @Override
    public Result<PublishingMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, PublishingCodec::readPublish);
    }

    /** Encodes a result. */
    public byte[] encodeResult(PublishResult result) {
        MessageWriter writer = new MessageWriter(typeOf(result));
        writeResult(writer, result);
        return writer.toBytes();
    }

    /** Decodes a result, or fails if the payload is malformed. */
    public Result<PublishResult> decodeResult(byte[] payload) {
        return MessageReader.decode(payload, PublishingCodec::readResult);
    }

    /** Encodes a state. */
    public byte[] encodeState(PublishingState state) {
        return new MessageWriter(STATE)
                .number(state.revision())
                .text(state.yaml())
                .list(state.remembered(), PublishingCodec::writeRemembered)
                .toBytes();
    }

    /** Decodes a state, or fails if the payload is malformed. */
    public Result<PublishingState> decodeState(byte[] payload) {
        return MessageReader.decode(payload, PublishingCodec::readState);
    }

    private static PublishingMessage readPublish(MessageReader reader) {
        int type = reader.type();
        if (type != PUBLISH) {
            return MessageReader.unknownType(type);
        }
        return new Publish(new PublishId(reader.text()), reader.number(), reader.text());
    }

    private static PublishingState readState(MessageReader reader) {
        int type = reader.type();
        if (type != STATE) {
            return MessageReader.unknownType(type);
        }
        return new PublishingState(
                reader.number(), reader.text(), reader.list(PublishingCodec::readRemembered));
    }

    private static void writeRemembered(MessageWriter writer, RememberedPublish remembered) {
        writer.text(remembered.publishId().value())
                .number(remembered.baseRevision())
                .text(remembered.setDigestSha256())
                .number(typeOf(remembered.result()));
        writeResult(writer, remembered.result());
    }

    private static RememberedPublish readRemembered(MessageReader reader) {
        return new RememberedPublish(
                new PublishId(reader.text()), reader.number(), reader.text(), readResult(reader));
    }

    private static int typeOf(PublishResult result) {
        if (result instanceof Accepted) {
            return ACCEPTED;
        }
        return result instanceof Conflict ? CONFLICT : REFUSED;
    }

    private static void writeResult(MessageWriter writer, PublishResult result) {
        if (result instanceof Accepted accepted) {
            writer.number(accepted.revision());
        } else if (result instanceof Conflict conflict) {
            writer.number(conflict.winningRevision()).text(conflict.winningPublishId().value());
        } else {
            SkylarkError error = ((Refused) result).error();
            writer.text(error.kind().name()).text(error.detail());
        }
    }

    private static PublishResult readResult(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case ACCEPTED -> new Accepted(reader.number());
            case CONFLICT -> new Conflict(reader.number(), new PublishId(reader.text()));
            case REFUSED ->
                    new Refused(new SkylarkError(ErrorKind.valueOf(reader.text()), reader.text()));
            default -> MessageReader.unknownType(type);
        };
    }
}
