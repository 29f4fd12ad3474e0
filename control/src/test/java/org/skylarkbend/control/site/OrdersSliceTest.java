package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.orders.weights.WeightsMessage.Announced;
import org.testng.annotations.Test;

/** Tests that members learn of orders that are announced in the log. */
public class OrdersSliceTest {
    @Test
    public void everyMemberIsToldOfAnAnnouncedOrder() {
        List<Announced> notified = new ArrayList<>();
        OrdersSlice slice = new OrdersSlice(notified::add);
        Announced order = new Announced("e1@5", 7);
        assertThat(slice.apply(OrdersSlice.encode(order), 0).isSuccess()).isTrue();
        assertThat(notified).containsExactly(order);
    }

    @Test
    public void aMemberThatIsBroughtUpToDateBySnapshotIsToldOfTheLastOrderOfEachEngine() {
        OrdersSlice slice = new OrdersSlice(order -> {});
        slice.apply(OrdersSlice.encode(new Announced("e1@5", 7)), 0);
        slice.apply(OrdersSlice.encode(new Announced("e2@5", 7)), 0);
        slice.apply(OrdersSlice.encode(new Announced("e1@5", 8)), 0);
        List<Announced> notified = new ArrayList<>();
        assertThat(new OrdersSlice(notified::add).restore(slice.snapshot()).isSuccess()).isTrue();
        assertThat(notified)
                .containsExactlyInAnyOrder(new Announced("e1@5", 8), new Announced("e2@5", 7));
    }

    @Test
    public void anEntryThatCannotBeReadIsRefused() {
        OrdersSlice slice = new OrdersSlice(order -> {});
        assertThat(slice.apply(new byte[] {9}, 0).isSuccess()).isFalse();
        assertThat(slice.restore(new byte[0]).isSuccess()).isFalse();
    }
}
