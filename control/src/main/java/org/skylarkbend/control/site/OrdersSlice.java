package org.skylarkbend.control.site;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ReplicatedSlice;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/**
 * Announces in the replicated log each order to an engine before it is given.
 *
 * <p>A member that takes over knows by it which engines its predecessor may have ordered lately,
 * and leaves only those alone until the predecessor's lease has certainly ended. Only the last
 * order of each engine is kept, so that a member that was brought up to date by a snapshot knows it
 * too.
 */
public final class OrdersSlice implements ReplicatedSlice {
    /** Its name in entries and in the snapshot. */
    public static final String NAME = "orders";

    private static final int ANNOUNCED = 1;
    private static final int ALL = 2;

    /** Engines that are gone for good make room for others; twice the largest site. */
    private static final int MOST_ENGINES = 1_200;

    private final Consumer<Announced> mOnAnnounced;
    private final Map<String, Announced> mLast = new LinkedHashMap<>();

    /** A slice that tells of each announcement, and again of those that a snapshot holds. */
    public OrdersSlice(Consumer<Announced> onAnnounced) {
        mOnAnnounced = onAnnounced;
    }

    /** The entry that announces an order. */
    public static byte[] encode(Announced order) {
        MessageWriter writer = new MessageWriter(ANNOUNCED);
        write(writer, order);
        return writer.toBytes();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Result<byte[]> apply(byte[] payload, long proposedEpochMilliseconds) {
        return MessageReader.decode(
                        payload, reader -> readTyped(reader, ANNOUNCED, OrdersSlice::read))
                .map(
                        order -> {
                            note(order);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return new MessageWriter(ALL)
                .list(List.copyOf(mLast.values()), OrdersSlice::write)
                .toBytes();
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return MessageReader.decode(
                        snapshot, reader -> readTyped(reader, ALL, r -> r.list(OrdersSlice::read)))
                .map(
                        orders -> {
                            mLast.clear();
                            orders.forEach(this::note);
                            return null;
                        });
    }

    private void note(Announced order) {
        mLast.remove(order.engine());
        mLast.put(order.engine(), order);
        if (mLast.size() > MOST_ENGINES) {
            mLast.remove(mLast.keySet().iterator().next());
        }
        mOnAnnounced.accept(order);
    }

    private static void write(MessageWriter writer, Announced order) {
        writer.text(order.engine()).number(order.fencingNumber());
    }

    private static Announced read(MessageReader reader) {
        return new Announced(reader.text(), reader.number());
    }

    private static <T> T readTyped(
            MessageReader reader, int wanted, Function<MessageReader, T> read) {
        int type = reader.type();
        return type == wanted ? read.apply(reader) : MessageReader.unknownType(type);
    }
}
