package org.skylarkbend.control.site;

import java.util.function.Consumer;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.orders.weights.WeightsMessage;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.orders.weights.WeightsMessage.AnnouncementsMissed;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * Announces in the replicated log each order to an engine before it is given.
 *
 * <p>A member that takes over knows by it which engines its predecessor may have ordered lately,
 * and leaves only those alone until the predecessor's lease has certainly ended. Nothing is kept:
 * how long ago an order was announced is known only to members that saw it.
 */
public final class OrdersSlice implements ReplicatedSlice {
    /** Its name in entries and in the snapshot. */
    public static final String NAME = "orders";

    private static final int ANNOUNCED = 1;

    private final Consumer<WeightsMessage> mOnAnnounced;

    /** A slice that tells of each announcement, and of those that a snapshot left out. */
    public OrdersSlice(Consumer<WeightsMessage> onAnnounced) {
        mOnAnnounced = onAnnounced;
    }

    /** The entry that announces an order. */
    public static byte[] encode(Announced order) {
        return new MessageWriter(ANNOUNCED)
                .text(order.engine())
                .number(order.fencingNumber())
                .toBytes();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return MessageReader.decode(payload, OrdersSlice::read)
                .map(
                        order -> {
                            mOnAnnounced.accept(order);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        mOnAnnounced.accept(new AnnouncementsMissed());
        return Result.success(null);
    }

    private static Announced read(MessageReader reader) {
        int type = reader.type();
        if (type != ANNOUNCED) {
            return MessageReader.unknownType(type);
        }
        return new Announced(reader.text(), reader.number());
    }
}
