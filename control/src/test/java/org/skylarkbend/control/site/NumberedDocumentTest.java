package org.skylarkbend.control.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
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
