package org.skylarkbend.publishing.feed;

import java.util.Optional;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.publishing.feed.FeedMessage.ControlAddress;
import org.skylarkbend.publishing.feed.FeedMessage.NotLeader;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHeartbeat;
import org.skylarkbend.publishing.feed.FeedMessage.RouterHello;
import org.skylarkbend.publishing.feed.FeedMessage.ServingLease;
import org.skylarkbend.publishing.feed.FeedMessage.SetDocument;
import org.skylarkbend.publishing.feed.FeedMessage.SetRequest;
import org.skylarkbend.publishing.feed.FeedMessage.SliceMessage;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link FeedMessage}. */
public final class FeedCodec implements MessageCodec<FeedMessage> {
    private static final int ROUTER_HELLO = 1;
    private static final int ROUTER_HEARTBEAT = 2;
    private static final int SERVING_LEASE = 3;
    private static final int NOT_LEADER = 4;
    private static final int SET_REQUEST = 5;
    private static final int SET_DOCUMENT = 6;
    private static final int SLICE_MESSAGE = 7;

    @Override
    public byte[] encode(FeedMessage message) {
        if (message instanceof RouterHello hello) {
            return new MessageWriter(ROUTER_HELLO)
                    .text(hello.vm().value())
                    .text(hello.dataCentre().value())
                    .number(hello.incarnation())
                    .toBytes();
        }
        if (message instanceof RouterHeartbeat heartbeat) {
            return new MessageWriter(ROUTER_HEARTBEAT)
                    .number(heartbeat.sequence())
                    .number(heartbeat.revision())
                    .toBytes();
        }
        if (message instanceof ServingLease lease) {
            return new MessageWriter(SERVING_LEASE)
                    .number(lease.sequence())
                    .number(lease.revision())
                    .number(lease.leaseMilliseconds())
                    .toBytes();
        }
        if (message instanceof NotLeader notLeader) {
            ControlAddress leader = notLeader.leader().orElse(new ControlAddress("", 0));
            return new MessageWriter(NOT_LEADER)
                    .text(leader.host())
                    .number(leader.port())
                    .toBytes();
        }
        if (message instanceof SetRequest request) {
            return new MessageWriter(SET_REQUEST).number(request.knownRevision()).toBytes();
        }
        if (message instanceof SetDocument document) {
            return new MessageWriter(SET_DOCUMENT)
                    .number(document.revision())
                    .text(document.yaml())
                    .toBytes();
        }
        SliceMessage slice = (SliceMessage) message;
        return new MessageWriter(SLICE_MESSAGE)
                .text(slice.slice())
                .bytes(slice.payload())
                .toBytes();
    }

    @Override
    public Result<FeedMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, FeedCodec::read);
    }

    private static FeedMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case ROUTER_HELLO ->
                    new RouterHello(
                            ObjectName.of(reader.text()),
                            ObjectName.of(reader.text()),
                            reader.number());
            case ROUTER_HEARTBEAT -> new RouterHeartbeat(reader.number(), reader.number());
            case SERVING_LEASE ->
                    new ServingLease(reader.number(), reader.number(), reader.number());
            case NOT_LEADER -> readNotLeader(reader);
            case SET_REQUEST -> new SetRequest(reader.number());
            case SET_DOCUMENT -> new SetDocument(reader.number(), reader.text());
            case SLICE_MESSAGE -> new SliceMessage(reader.text(), reader.bytes());
            default -> MessageReader.unknownType(type);
        };
    }

    private static NotLeader readNotLeader(MessageReader reader) {
        String host = reader.text();
        int port = (int) reader.number();
        return new NotLeader(
                host.isEmpty() ? Optional.empty() : Optional.of(new ControlAddress(host, port)));
    }
}
