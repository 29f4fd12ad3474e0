package org.skylarkbend.control.limits;

import java.util.LinkedHashSet;
import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.limits.LimitRegistryChange.Register;
import org.skylarkbend.control.limits.LimitRegistryChange.Unregister;
import org.skylarkbend.limits.LimitRegistry;
import org.skylarkbend.limits.RouterIdentity;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes the registry and its changes for the replicated log. */
final class LimitRegistryCodec implements MessageCodec<LimitRegistryChange> {
    private static final int REGISTER = 1;
    private static final int UNREGISTER = 2;
    private static final int REGISTRY = 3;

    @Override
    public byte[] encode(LimitRegistryChange change) {
        MessageWriter writer =
                new MessageWriter(change instanceof Register ? REGISTER : UNREGISTER);
        writeRouter(writer, change.router());
        return writer.toBytes();
    }

    @Override
    public Result<LimitRegistryChange> decode(byte[] payload) {
        return MessageReader.decode(payload, LimitRegistryCodec::read);
    }

    byte[] encodeRegistry(LimitRegistry registry) {
        return new MessageWriter(REGISTRY)
                .list(List.copyOf(registry.routers()), LimitRegistryCodec::writeRouter)
                .toBytes();
    }

    Result<LimitRegistry> decodeRegistry(byte[] payload) {
        return MessageReader.decode(payload, LimitRegistryCodec::readRegistry);
    }

    private static LimitRegistryChange read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case REGISTER -> new Register(readRouter(reader));
            case UNREGISTER -> new Unregister(readRouter(reader));
            default -> MessageReader.unknownType(type);
        };
    }

    private static LimitRegistry readRegistry(MessageReader reader) {
        int type = reader.type();
        if (type != REGISTRY) {
            return MessageReader.unknownType(type);
        }
        return new LimitRegistry(new LinkedHashSet<>(reader.list(LimitRegistryCodec::readRouter)));
    }

    private static void writeRouter(MessageWriter writer, RouterIdentity router) {
        writer.text(router.vm().value()).number(router.incarnation());
    }

    private static RouterIdentity readRouter(MessageReader reader) {
        return new RouterIdentity(ObjectName.of(reader.text()), reader.number());
    }
}
