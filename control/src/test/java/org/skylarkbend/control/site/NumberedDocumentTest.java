package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlStateMachine;
import org.testng.annotations.Test;

/** Tests which document is in force. */
public class NumberedDocumentTest {
    private final NumberedDocument mFive = new NumberedDocument(5, "five");

    @Test
    public void theHighestNumberIsInForceInWhateverOrderDocumentsCome() {
        NumberedDocument nine = new NumberedDocument(9, "nine");
        assertThat(mFive.after(nine, NumberedDocument.HIGHEST_NUMBER)).isEqualTo(nine);
        assertThat(nine.after(mFive, NumberedDocument.HIGHEST_NUMBER)).isEqualTo(nine);
    }

    @Test
    public void otherContentUnderTheNumberHeldChangesNothing() {
        NumberedDocument other = new NumberedDocument(5, "other");
        assertThat(mFive.after(other, NumberedDocument.HIGHEST_NUMBER)).isSameAs(mFive);
    }

    @Test
    public void aSnapshotRestoresTheDocumentAndTellsOfIt() {
        List<NumberedDocument> notified = new ArrayList<>();
        CatalogSlice slice = new CatalogSlice(notified::add);
        assertThat(slice.apply(CatalogSlice.encode(mFive), 0).isSuccess()).isTrue();
        CatalogSlice restored = new CatalogSlice(notified::add);
        assertThat(restored.restore(slice.snapshot()).isSuccess()).isTrue();
        assertThat(notified).containsExactly(mFive, mFive);
        assertThat(slice.apply(new byte[] {1, 2}, 0).isSuccess()).isFalse();
    }

    /** Guards against a stored document that is read with replaced bytes. */
    @Test
    public void aStoredDocumentThatIsNoTextIsAnError() {
        List<NumberedDocument> notified = new ArrayList<>();
        CatalogSlice slice = new CatalogSlice(notified::add);
        byte[] entry = CatalogSlice.encode(new NumberedDocument(5, "text"));
        entry[entry.length - 2] = (byte) 0xff;
        Counter unreadable = new Counter();
        ControlStateMachine state = new ControlStateMachine(List.of(slice), unreadable);
        byte[] result = state.apply(new ControlEntry(CatalogSlice.NAME, 0, entry).toBytes());
        assertThat(ControlStateMachine.decodeResult(result).isSuccess()).isFalse();
        assertThat(unreadable.getCount()).isEqualTo(1);
        assertThat(slice.restore(entry).isSuccess()).isFalse();
        assertThat(notified).isEmpty();
    }

    @Test
    public void versionsOfWeightsOnlyGoUp() {
        List<java.util.Map<String, Long>> notified = new ArrayList<>();
        WeightsSlice slice = new WeightsSlice(notified::add);
        slice.apply(WeightsSlice.encode(java.util.Map.of("m", 3L)), 0);
        slice.apply(WeightsSlice.encode(java.util.Map.of("m", 2L)), 0);
        slice.apply(WeightsSlice.encode(java.util.Map.of("n", 1L)), 0);
        assertThat(notified)
                .containsExactly(java.util.Map.of("m", 3L), java.util.Map.of("m", 3L, "n", 1L));
    }
}
