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
 * The announced engine orders as a slice of the replicated state. Each order is announced in the
 * log before it is sent.
 *
 * <p>From the announcements a new leader knows which engines its predecessor may have ordered
 * recently. It sends no orders to those, and only to those, until the predecessor's lease has
 * certainly expired. The last order of each engine is kept, so that a member restored from a
 * snapshot knows it too.
 */
public final class OrdersSlice implements ReplicatedSlice {
    /** The name of the slice in entries and snapshots. */
    public static final String NAME = "orders";

    private static final int ANNOUNCED = 1;
    private static final int ALL_ORDERS = 2;

    /**
     * The maximum number of engines with a kept order, twice the engines of the largest site.
     * Beyond it, the least recently ordered engine is dropped, so that removed engines make room
     * for others.
     */
    private static final int MAX_ENGINES = 1_200;

    private final Consumer<Announced> mOnAnnounced;
    private final Map<String, Announced> mLastOrders = new LinkedHashMap<>();

    /**
     * Creates a slice without orders. The consumer gets each announced order, and again those of a
     * restored snapshot.
     */
    public OrdersSlice(Consumer<Announced> onAnnounced) {
        mOnAnnounced = onAnnounced;
    }

    /** Encodes an entry that announces an order. */
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
                            remember(order);
                            return new byte[0];
                        });
    }

    @Override
    public byte[] snapshot() {
        return new MessageWriter(ALL_ORDERS)
                .list(List.copyOf(mLastOrders.values()), OrdersSlice::write)
                .toBytes();
    }

    @Override
    public Result<Void> restore(byte[] snapshot) {
        return MessageReader.decode(
                        snapshot,
                        reader -> readTyped(reader, ALL_ORDERS, r -> r.list(OrdersSlice::read)))
                .map(
                        orders -> {
                            mLastOrders.clear();
                            orders.forEach(this::remember);
                            return null;
                        });
    }

    private void remember(Announced order) {
        mLastOrders.remove(order.engine());
        mLastOrders.put(order.engine(), order);
        if (mLastOrders.size() > MAX_ENGINES) {
            mLastOrders.remove(mLastOrders.keySet().iterator().next());
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
            MessageReader reader, int expectedType, Function<MessageReader, T> read) {
        int type = reader.type();
        return type == expectedType ? read.apply(reader) : MessageReader.unknownType(type);
    }
}
